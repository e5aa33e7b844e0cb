import { SHORT_BULK_START_MS } from './constants.ts'
import type { Questionnaire } from './schemas.ts'

/** Returns a note for each answer that is valid but probably not intended. */
export const findNotes = ({ teams, work }: Questionnaire): string[] => {
  const notes: string[] = []
  if (work.length > 1 && work.every(({ urgency }) => urgency === 'urgent')) {
    notes.push('work: every kind is urgent; urgency orders the work of one team, so equal urgencies have no effect')
  }
  work.forEach(({ urgency, mustStartWithin }, i) => {
    if (urgency !== 'bulk' || mustStartWithin >= SHORT_BULK_START_MS) return
    notes.push(`work.${i}.mustStartWithin: ${mustStartWithin} ms for bulk work, which waits for all other work; use normal urgency or a longer time`)
  })
  teams.forEach(({ team, guarantees }, i) => {
    if (guarantees.length > 0) return
    notes.push(`teams.${i}.guarantees: ${team} has none and runs only on capacity that the guarantees of other teams leave free`)
  })
  return notes
}
