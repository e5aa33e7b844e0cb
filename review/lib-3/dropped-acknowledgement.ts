// Shows in one process that a replica acknowledges entries that it then drops. Not a case: it starts no programs.
// Run with: node --import tsx review/lib-3/dropped-acknowledgement.ts
import type { NodeId } from '../../packages/common/src/index.ts'
import { ReplicaDriver, type Member } from '../../packages/consensus/src/index.ts'
import { DataFolder, MemoryDisk, packValue } from '../../packages/storage/src/index.ts'
import { RandomSource, SystemTimerService } from '../../packages/timers/src/index.ts'

const DISK_DELAY_MS = 30
const SETTLE_MS = 1_500
const [FIRST_LEADER, SECOND_LEADER, FOLLOWER] = ['l1', 'l2', 'f'] as [NodeId, NodeId, NodeId]

interface Reply {
  readonly type: string
  readonly ok?: boolean
  readonly matchIndex?: number
}

const timers = new SystemTimerService()
let isDiskSlow = false
const disk = new MemoryDisk({ delay: async () => { if (isDiskSlow) await timers.delay(DISK_DELAY_MS) } })
const folder = await DataFolder.openOrInit(disk.attach(), '/data')
const members = [FIRST_LEADER, SECOND_LEADER, FOLLOWER].map((node): Member => ({ node, incarnation: '1', role: 'voter', witness: false }))
let acknowledged = 0
const replica = await ReplicaDriver.open({
  group: 'g',
  node: FOLLOWER,
  folder,
  timers,
  random: RandomSource.fromEntropy(),
  transport: {
    send: (_group, to, message) => {
      const { type, ok, matchIndex = 0 } = message as Reply
      if (type === 'append-reply' && ok && to === SECOND_LEADER) acknowledged = Math.max(acknowledged, matchIndex)
    }
  },
  machine: { apply: () => null, toSnapshot: () => ({}), restore: () => {} },
  initialMembers: members
})
const header = (term: number): object => ({ term, fromIncarnation: '1', toIncarnation: '1' })
const entries = (first: number, last: number, term: number): object[] =>
  Array.from({ length: last - first + 1 }, (_, i) => ({ index: first + i, term, body: { type: 'command', command: { n: first + i } } }))

replica.handleMessage(FIRST_LEADER, { type: 'append', ...header(1), prevIndex: 0, prevTerm: 0, commitIndex: 10, entries: entries(1, 10, 1), sentAt: 1 })
await timers.delay(SETTLE_MS / 10)
isDiskSlow = true
const data = packValue({}).toString('base64')
// The first leader has compacted its log and sends a snapshot; the second one still has the entries, and is elected while the snapshot is stored.
replica.handleMessage(FIRST_LEADER, { type: 'snapshot', ...header(1), index: 20, lastTerm: 1, members, offset: 0, total: data.length, data, sentAt: 2 })
await timers.delay(DISK_DELAY_MS / 3)
replica.handleMessage(SECOND_LEADER, { type: 'append', ...header(2), prevIndex: 10, prevTerm: 1, commitIndex: 10, entries: [...entries(11, 20, 1), ...entries(21, 30, 2)], sentAt: 3 })
await timers.delay(SETTLE_MS)
const { lastIndex } = replica.getStatus()
console.log(`acknowledged to the second leader: ${acknowledged}; last entry in the log: ${lastIndex}`)
process.exit(acknowledged > lastIndex ? 1 : 0)
