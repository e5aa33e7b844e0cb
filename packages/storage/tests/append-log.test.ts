import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import t from 'tap'
import { IbisError } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import { AppendLog, MemoryDisk, NodeFileSystem } from '../src/index.ts'
import { rejectsWith } from './helpers.ts'

const PATH = '/log'

const readAll = async (disk: MemoryDisk): Promise<readonly unknown[]> => (await AppendLog.open(disk.attach(), PATH)).records

t.test('records survive closing and reopening on a real disk', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'ibisstair-log-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const fs = new NodeFileSystem()
  const { log } = await AppendLog.open(fs, join(folder, 'log'))
  await Promise.all([log.append([{ a: 1 }]), log.append(['two', 3])])
  await log.append([[4]])
  await log.truncate(3)
  await log.append([null])
  await log.close()
  const reopened = await AppendLog.open(fs, join(folder, 'log'))
  t.same(reopened.records, [{ a: 1 }, 'two', 3, null])
  t.equal(reopened.tornTail, null)
  await reopened.log.replace([9])
  await reopened.log.append([10])
  await reopened.log.close()
  const last = await AppendLog.open(fs, join(folder, 'log'))
  t.same(last.records, [9, 10])
  await last.log.close()
})

t.test('appends made during one turn share a sync', async (t) => {
  const { log } = await AppendLog.open(new MemoryDisk().attach(), PATH)
  await Promise.all(Array.from({ length: 50 }, (_, i) => log.append([i])))
  t.equal(log.counters.syncs, 1)
  t.equal(log.count, 50)
})

t.test('an incomplete last record is removed on opening and reported as a torn tail', async (t) => {
  const disk = new MemoryDisk()
  const fs = disk.attach()
  const { log } = await AppendLog.open(fs, PATH)
  await log.append(['first', 'second'])
  const fullSize = disk.sizeOf(PATH)
  const file = await fs.open(PATH)
  await file.truncate(fullSize - 3)
  const reopened = await AppendLog.open(disk.attach(), PATH)
  t.same(reopened.records, ['first'])
  t.equal(reopened.tornTail?.file, PATH)
  t.ok((reopened.tornTail?.bytes ?? 0) > 0)
  await reopened.log.append(['third'])
  t.same(await readAll(disk), ['first', 'third'])
})

t.test('opening a log with a damaged synced record rejects with data-damaged, the file and the offset', async (t) => {
  const disk = new MemoryDisk()
  const { log } = await AppendLog.open(disk.attach(), PATH)
  await log.append(['first'])
  const offset = log.bytes
  await log.append(['second'])
  await log.append(['third'])
  disk.damage(PATH, offset + 22)
  await rejectsWith(t, AppendLog.open(disk.attach(), PATH), { kind: 'data-damaged', details: { file: PATH, offset } })
})

t.test('a damaged last record of a replaced file is reported as damage, because the whole file was synced', async (t) => {
  const disk = new MemoryDisk()
  const { log } = await AppendLog.open(disk.attach(), PATH)
  await log.replace(['first', 'second'])
  disk.damage(PATH, log.bytes - 1)
  await rejectsWith(t, AppendLog.open(disk.attach(), PATH), { kind: 'data-damaged' })
})

t.test('dropped records stay dropped after a crash, and appends follow the remaining records', async (t) => {
  const disk = new MemoryDisk()
  const { log } = await AppendLog.open(disk.attach(), PATH)
  await log.append([1, 2, 3, 4])
  await log.dropFirst(3)
  await log.append([5])
  disk.crash(new RandomSource(3))
  t.same(await readAll(disk), [4, 5])
})

t.test('an append on a full disk rejects with disk-full, stores nothing and leaves the log usable', async (t) => {
  const disk = new MemoryDisk()
  const { log } = await AppendLog.open(disk.attach(), PATH)
  await log.append(['kept'])
  disk.setCapacity(disk.usedBytes + 30)
  await rejectsWith(t, log.append(['x'.repeat(100)]), { kind: 'disk-full', execution: 'not-run' })
  await rejectsWith(t, log.replace(['x'.repeat(100)]), { kind: 'disk-full' })
  disk.setCapacity(Infinity)
  await log.append(['later'])
  disk.crash(new RandomSource(1))
  t.same(await readAll(disk), ['kept', 'later'])
})

t.test('a failed write closes the log, because it is unknown which data reached the disk', async (t) => {
  const disk = new MemoryDisk()
  const { log } = await AppendLog.open(disk.attach(), PATH)
  disk.kill()
  await rejectsWith(t, log.append([1]), { kind: 'internal' })
  await t.rejects(log.append([2]), IbisError)
})

type Step =
  | { readonly type: 'append', readonly values: readonly string[] }
  | { readonly type: 'truncate', readonly part: number }
  | { readonly type: 'replace' }
  | { readonly type: 'crash', readonly seed: number, readonly during: readonly string[] }
  | { readonly type: 'fill' }
  | { readonly type: 'free' }

const textArbitrary = fc.string({ minLength: 0, maxLength: 1500 })
const valuesArbitrary = fc.array(textArbitrary, { minLength: 1, maxLength: 4 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('append' as const), values: valuesArbitrary }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('truncate' as const), part: fc.double({ min: 0, max: 1, noNaN: true }) }) },
  { weight: 1, arbitrary: fc.constant({ type: 'replace' as const }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('crash' as const), seed: fc.nat(), during: valuesArbitrary }) },
  { weight: 1, arbitrary: fc.constant({ type: 'fill' as const }) },
  { weight: 1, arbitrary: fc.constant({ type: 'free' as const }) }
)

const isPrefix = (shorter: readonly unknown[], longer: readonly unknown[]): boolean =>
  shorter.every((value, i) => value === longer[i])

/** Compares the log with a model of the acknowledged records: after each crash it has all of them, followed by at most a prefix of the append in progress. */
const runSteps = async (steps: readonly Step[], ignoreSync: boolean): Promise<void> => {
  const disk = new MemoryDisk({ ignoreSync })
  let { log } = await AppendLog.open(disk.attach(), PATH)
  let model: unknown[] = []
  for (const step of steps) {
    switch (step.type) {
      case 'append': {
        const ok = await log.append(step.values).then(() => true, (err: IbisError) => {
          if (err.kind !== 'disk-full') throw err
          return false
        })
        if (ok) model.push(...step.values)
        break
      }
      case 'truncate': {
        const count = Math.floor(step.part * model.length)
        await log.truncate(count)
        model = model.slice(0, count)
        break
      }
      case 'replace': {
        const next = model.slice(Math.floor(model.length / 2))
        const ok = await log.replace(next).then(() => true, () => false)
        if (ok) model = next
        break
      }
      case 'crash': {
        log.append(step.during).catch(() => {})
        for (let i = 0; i < step.seed % 5; i++) await Promise.resolve()
        disk.crash(new RandomSource(step.seed))
        const reopened = await AppendLog.open(disk.attach(), PATH)
        log = reopened.log
        const found = [...reopened.records]
        if (!isPrefix(model, found) || !isPrefix(found, [...model, ...step.during])) {
          throw new Error(`found ${found.length} records, which do not extend the ${model.length} acknowledged records`)
        }
        model = found
        break
      }
      case 'fill': disk.setCapacity(disk.usedBytes + 100); break
      case 'free': disk.setCapacity(Infinity); break
    }
  }
}

const SEED = 20240611

t.test('a damaged byte anywhere before the last batch is reported, never removed as a torn tail or returned as data', async (t) => {
  t.comment(`seed ${SEED}`)
  const batches = fc.array(valuesArbitrary, { minLength: 2, maxLength: 5 })
  const part = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })
  await fc.assert(fc.asyncProperty(batches, part, async (batches, part) => {
    const disk = new MemoryDisk()
    const { log } = await AppendLog.open(disk.attach(), PATH)
    let lastStart = 0
    for (const batch of batches) {
      lastStart = log.bytes
      await log.append(batch)
    }
    const damagedAt = Math.floor(part * lastStart)
    disk.damage(PATH, damagedAt)
    const err: unknown = await AppendLog.open(disk.attach(), PATH).then(() => null, (err: unknown) => err)
    if (!(err instanceof IbisError) || err.kind !== 'data-damaged') throw new Error(`damage at ${damagedAt} gave ${String(err)}`)
    const { offset } = err.details as { offset: number }
    if (offset > damagedAt) throw new Error(`damage at ${damagedAt} was reported at ${offset}`)
  }), { seed: SEED, numRuns: 300 })
})

const runs = fc.array(step, { maxLength: 40 })

t.test('no acknowledged record is lost in crashes with torn writes', async (t) => {
  t.comment(`seed ${SEED}`)
  await fc.assert(fc.asyncProperty(runs, (steps) => runSteps(steps, false)), { seed: SEED, numRuns: 300 })
})

t.test('the same random runs fail when the disk ignores syncs', async (t) => {
  const result = await fc.check(fc.asyncProperty(runs, (steps) => runSteps(steps, true)), { seed: SEED, numRuns: 300 })
  t.ok(result.failed)
  t.comment(`seed ${SEED}: ${String(result.errorInstance)}`)
})
