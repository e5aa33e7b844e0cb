import t from 'tap'
import type { Test } from 'tap'
import type { Mechanism } from '../src/index.ts'
import { ManualNetwork } from './support/manual-network.ts'

// Guards against the loss of an entry that a majority stored in an earlier term: figure 8 of the
// Raft paper (Ongaro and Ousterhout, 2014), with the nodes 0 to 4 in place of S1 to S5.
const runFigureEight = (t: Test, disabled: readonly Mechanism[]): ManualNetwork => {
  const network = new ManualNetwork(5, disabled)
  network.elect(0, [1, 2, 3])
  network.deliver(() => true)
  network.step(0, { type: 'propose', id: 1, command: 'x' })
  network.deliver(({ to, message }) => to === 1 && message.type === 'append')
  network.elect(4, [2, 3])
  t.equal(network.statusOf(4).role, 'leader', 'node 4 leads and its entry is not replicated')
  network.elect(0, [1, 2])
  t.equal(network.statusOf(0).role, 'leader', 'node 0 leads again')
  network.step(0, { type: 'tick' })
  // Node 0 replicates x to a majority, but no entry of its new term.
  network.deliver(({ from, to, message }) => {
    const reachable = [0, 1, 2]
    const hasNewTerm = message.type === 'append' && message.entries.some((entry) => entry.index > 2)
    return reachable.includes(from) && reachable.includes(to) && message.type.startsWith('append') && !hasNewTerm
  })
  network.elect(4, [1, 2, 3])
  t.equal(network.statusOf(4).role, 'leader', 'node 4 leads again')
  network.step(4, { type: 'tick' })
  network.deliver(({ from, to }) => from !== 0 && to !== 0)
  return network
}

t.test('an entry of an earlier term is not committed by being stored on a majority', async (t) => {
  const network = runFigureEight(t, [])
  t.ok(network.statusOf(4).commitIndex >= 3)
})

t.test('without current-term-commit, a committed entry is overwritten', async (t) => {
  t.throws(() => runFigureEight(t, ['current-term-commit']), /was committed as|never overwritten/)
})
