import * as v from 'valibot'
import { DEFAULT_DRAIN_MS, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_PENDING } from './constants.ts'
import { checkGroups, checkListeners, checkMembers, checkOwnDomain, checkOwnNode, type Conflict } from './cross-checks.ts'
import {
  DeploymentField, DomainField, ListenerField, LogField, MembersField, MetricsField, NodeField, NonEmptyMembersField,
  PathField, VotersField, wholeNumber
} from './fields.ts'

const toIssuePath = (path: Conflict['path'], root: unknown): [v.IssuePathItem, ...v.IssuePathItem[]] => {
  let input = root
  const items = path.map((key) => {
    const parent = input as Record<string, unknown>
    input = parent[key]
    return { type: 'object', origin: 'value', input: parent, key: String(key), value: input } as const
  })
  return items as unknown as [v.IssuePathItem, ...v.IssuePathItem[]]
}

/** Adds an issue for each conflict between fields, once the value has the right type. */
const checkConsistency = <T>(findConflicts: (value: T) => Iterable<Conflict>) =>
  v.rawCheck<T>(({ dataset, addIssue }) => {
    if (!dataset.typed) return
    for (const { path, value, accepted } of findConflicts(dataset.value)) {
      addIssue({ message: accepted, expected: accepted, input: value, path: toIssuePath(path, dataset.value) })
    }
  })

const EntryFields = v.strictObject({
  deployment: DeploymentField,
  node: NodeField,
  domain: DomainField,
  listen: v.strictObject({
    callers: ListenerField,
    endpoints: ListenerField,
    operators: ListenerField,
    internal: ListenerField
  }),
  secretFile: PathField,
  /** Folder that stores the newest configuration. An entry without it fetches the configuration from the control processes. */
  dataFolder: v.optional(PathField),
  controls: NonEmptyMembersField,
  /** Internal listeners of all entries, including this one. */
  entries: NonEmptyMembersField,
  shutdown: v.optional(v.strictObject({
    /** Time from the loss of readiness until new requests are rejected, which is the drain time of the load balancer. */
    drainMs: v.optional(wholeNumber(0, 600_000), DEFAULT_DRAIN_MS)
  }), {}),
  limits: v.optional(v.strictObject({
    maxBodyBytes: v.optional(wholeNumber(1_024, DEFAULT_MAX_BODY_BYTES), DEFAULT_MAX_BODY_BYTES),
    /** Maximum number of caller requests that wait at the same time. */
    maxPending: v.optional(wholeNumber(1, 1_000_000), DEFAULT_MAX_PENDING)
  }), {}),
  metrics: v.optional(MetricsField),
  log: v.optional(LogField, {})
})

const ControlFields = v.strictObject({
  deployment: DeploymentField,
  node: NodeField,
  domain: DomainField,
  listen: v.strictObject({ internal: ListenerField }),
  secretFile: PathField,
  dataFolder: PathField,
  /** Internal listeners of all control processes, including this one. */
  controls: NonEmptyMembersField,
  entries: MembersField,
  groups: v.strictObject({
    config: v.strictObject({ voters: VotersField }),
    domains: v.pipe(
      v.array(v.strictObject({ domain: DomainField, voters: VotersField, witness: NodeField })),
      v.minLength(1, 'at least one domain'),
      v.maxLength(1_024)
    )
  }),
  metrics: v.optional(MetricsField),
  log: v.optional(LogField, {})
})

/** Schema of the settings file of an entry process, including checks across fields. */
export const EntrySettings = v.pipe(EntryFields, checkConsistency(function * ({ node, domain, listen, controls, entries }) {
  yield * checkListeners(listen)
  yield * checkMembers('controls', controls)
  yield * checkMembers('entries', entries)
  yield * checkOwnNode('entries', entries, node, domain)
  yield * checkOwnDomain(controls, domain)
}))

/** Schema of the settings file of a control process, including checks across fields. */
export const ControlSettings = v.pipe(ControlFields, checkConsistency(function * ({ node, domain, controls, entries, groups }) {
  yield * checkMembers('controls', controls)
  yield * checkMembers('entries', entries)
  yield * checkOwnNode('controls', controls, node, domain)
  yield * checkGroups(groups, controls, domain)
}))

export type EntrySettingsOutput = v.InferOutput<typeof EntrySettings>
export type ControlSettingsOutput = v.InferOutput<typeof ControlSettings>
