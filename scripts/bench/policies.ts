import type { DomainScheduler } from '@ibisstair/scheduler'
import { Scheduler } from '@ibisstair/scheduler'

export const createScheduler = (_policy: string): DomainScheduler => new Scheduler()
