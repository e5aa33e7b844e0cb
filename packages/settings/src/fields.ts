import { asId, type DomainId, type NodeId } from '@ibisstair/common'
import { LOG_LEVELS } from '@ibisstair/telemetry'
import * as v from 'valibot'
import { DEFAULT_METRICS_PREFIX } from './constants.ts'

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const ID_DESCRIPTION = '1 to 64 letters, digits, dots, underscores or hyphens that start with a letter or digit'

const MAX_MEMBERS = 4_096
const MAX_PATH_CHARS = 4_096

const Id = v.pipe(v.string(), v.check((text) => ID_PATTERN.test(text), ID_DESCRIPTION))

export const DeploymentField = Id
export const NodeField = v.pipe(Id, v.transform(asId<NodeId>))
export const DomainField = v.pipe(Id, v.transform(asId<DomainId>))

export const wholeNumber = (min: number, max: number) =>
  v.pipe(v.number(), v.integer('a whole number'), v.minValue(min), v.maxValue(max))

export const PathField = v.pipe(v.string(), v.minLength(1, 'a path'), v.maxLength(MAX_PATH_CHARS))

const AddressField = v.pipe(v.string(), v.ip('an IPv4 or IPv6 address'))
const PortField = wholeNumber(1, 65_535)

export const ListenerField = v.strictObject({ address: AddressField, port: PortField })

/** Node, domain and internal listener address of one process of the deployment. */
export const MemberField = v.strictObject({
  node: NodeField,
  domain: DomainField,
  address: AddressField,
  port: PortField
})

export const MembersField = v.pipe(v.array(MemberField), v.maxLength(MAX_MEMBERS))
export const NonEmptyMembersField = v.pipe(MembersField, v.minLength(1, 'at least one process'))

export const VotersField = v.pipe(v.array(NodeField), v.minLength(1, 'at least one voter'), v.maxLength(MAX_MEMBERS))

export const MetricsField = v.strictObject({
  address: AddressField,
  port: PortField,
  prefix: v.optional(Id, DEFAULT_METRICS_PREFIX)
})

export const LogField = v.strictObject({ level: v.optional(v.picklist(LOG_LEVELS), 'info') })

export type Listener = v.InferOutput<typeof ListenerField>
export type Member = v.InferOutput<typeof MemberField>
