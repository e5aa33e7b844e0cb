// Preloaded into a measured process. Counts the bytes of its sockets and its HTTP requests, and
// writes them to a file on a signal. The bundles themselves contain no code for this.
import { subscribe } from 'node:diagnostics_channel'
import { renameSync, writeFileSync } from 'node:fs'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const path = `${process.env.CAPACITY_FOLDER}/probe-${process.pid}.json`
const open = new Set()
const closed = { received: 0, sent: 0 }
const counters = { sockets: 0, requestsSent: 0, requestsServed: 0 }

const trackSocket = ({ socket }) => {
  counters.sockets += 1
  open.add(socket)
  socket.once('close', () => {
    open.delete(socket)
    closed.received += socket.bytesRead
    closed.sent += socket.bytesWritten
  })
}

const report = (heapAfterGc) => {
  const total = { ...closed }
  for (const socket of open) {
    total.received += socket.bytesRead
    total.sent += socket.bytesWritten
  }
  const { user, system } = process.cpuUsage()
  const { heapUsed, external } = process.memoryUsage()
  const sample = { ...total, ...counters, cpuMs: (user + system) / 1000, heapBytes: heapUsed + external, heapAfterGc }
  writeFileSync(`${path}.tmp`, JSON.stringify(sample))
  renameSync(`${path}.tmp`, path)
}

subscribe('net.client.socket', trackSocket)
subscribe('net.server.socket', trackSocket)
subscribe('http.client.request.start', () => { counters.requestsSent += 1 })
subscribe('http.server.request.start', () => { counters.requestsServed += 1 })
process.on('SIGUSR2', () => report(null))
// A full garbage collection changes the resident memory afterwards, so it has a separate signal.
process.on('SIGHUP', () => {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc')
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  report(heapUsed + external)
})
