import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import * as v from 'valibot'
import { RandomSource } from '@ibisstair/timers'
import { DataFolder, MemoryDisk, NodeFileSystem, SnapshotStore, ValueFile } from '../src/index.ts'
import { rejectsWith } from './helpers.ts'

const numbers = v.object({ n: v.number() })

t.test('a value file has either the old or the new value after a crash', async (t) => {
  const seen = new Set<number>()
  for (let seed = 0; seed < 100; seed++) {
    const disk = new MemoryDisk()
    const file = new ValueFile(disk.attach(), '/value', numbers)
    await file.write({ n: 1 })
    file.write({ n: 2 }).catch(() => {})
    for (let i = 0; i < seed % 40; i++) await Promise.resolve()
    disk.crash(new RandomSource(seed))
    const value = await new ValueFile(disk.attach(), '/value', numbers).read()
    t.ok(value?.n === 1 || value?.n === 2, `seed ${seed}`)
    seen.add(value?.n ?? 0)
  }
  t.equal(seen.size, 2, 'the seeds produced both outcomes')
})

t.test('reading a damaged value file rejects with data-damaged instead of resolving to an older value', async (t) => {
  const disk = new MemoryDisk()
  const file = new ValueFile(disk.attach(), '/value', numbers)
  t.equal(await file.read(), null)
  await file.write({ n: 1 })
  disk.damage('/value', 21)
  await rejectsWith(t, file.read(), { kind: 'data-damaged', details: { file: '/value', offset: 0 } })
})

t.test('a value file keeps its old value when the disk is full', async (t) => {
  const disk = new MemoryDisk()
  const file = new ValueFile(disk.attach(), '/value', numbers)
  await file.write({ n: 1 })
  disk.setCapacity(disk.usedBytes + 3)
  await rejectsWith(t, file.write({ n: 2 }), { kind: 'disk-full' })
  t.same(await file.read(), { n: 1 })
})

t.test('the newest valid snapshot is loaded, and newer damaged ones are listed', async (t) => {
  const disk = new MemoryDisk()
  const store = new SnapshotStore(disk.attach(), '/')
  t.same(await store.load(), { newest: null, previousIndex: null, damaged: [] })
  for (const index of [3, 12, 100]) await store.save(index, { index })
  t.same(await store.load(), { newest: { index: 100, value: { index: 100 } }, previousIndex: 12, damaged: [] })
  t.equal((await disk.attach().list('/'))?.length, 2, 'older snapshots are removed')
  disk.damage('/snapshot-0000000000000100', 25)
  t.same(await store.load(), { newest: { index: 12, value: { index: 12 } }, previousIndex: null, damaged: [100] })
})

t.test('a crash while a snapshot is saved leaves a valid snapshot to load', async (t) => {
  for (let seed = 0; seed < 60; seed++) {
    const disk = new MemoryDisk()
    await new SnapshotStore(disk.attach(), '/').save(1, 'old')
    new SnapshotStore(disk.attach(), '/').save(2, 'x'.repeat(5000)).catch(() => {})
    for (let i = 0; i < seed % 50; i++) await Promise.resolve()
    disk.crash(new RandomSource(seed))
    const store = new SnapshotStore(disk.attach(), '/')
    const { newest, damaged } = await store.load()
    t.ok(newest && damaged.length === 0, `seed ${seed}`)
    await store.save(3, 'next')
    t.notOk((await disk.attach().list('/'))?.some((name) => name.endsWith('.tmp')), 'temporary files are removed')
  }
})

t.test('init creates incarnation 1 only once, and opening a missing folder creates a new incarnation', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'ibisstair-data-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const fs = new NodeFileSystem()
  const path = join(folder, 'data')
  const installed = await DataFolder.init(fs, path)
  t.equal(installed.incarnation, '1')
  t.equal(installed.isNew, false)
  await rejectsWith(t, DataFolder.init(fs, path), { kind: 'invalid-request' })
  await installed.addGroup('config')
  const reopened = await DataFolder.open(fs, path, new RandomSource(1))
  t.equal(reopened.incarnation, '1')
  t.ok(reopened.hasGroup('config'))
  rmSync(path, { recursive: true })
  const replaced = await DataFolder.open(fs, path, new RandomSource(1))
  t.not(replaced.incarnation, '1')
  t.equal(replaced.isNew, true)
  t.equal((await DataFolder.open(fs, path, new RandomSource(2))).incarnation, replaced.incarnation)
})

t.test('a data folder with content but without an incarnation file is reported as damaged, not opened as new', async (t) => {
  const fs = new MemoryDisk().attach()
  const folder = await DataFolder.init(fs, '/data')
  await folder.makeGroupFolder('config')
  await new ValueFile(fs, '/data/other', v.any()).write(1)
  await fs.remove('/data/incarnation')
  await rejectsWith(t, DataFolder.open(fs, '/data', new RandomSource(1)), { kind: 'data-damaged' })
})
