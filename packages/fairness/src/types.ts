/** Amounts of several resources, by the name of the resource. */
export type Amounts<R extends string> = Readonly<Record<R, number>>

/** Place of a customer in the order of those that wait; lower values go first. */
export type ShareRank = number
