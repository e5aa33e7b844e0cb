/** An open file that is read and written at explicit positions. */
export interface FileHandle {
  readonly path: string
  size (): Promise<number>
  read (position: number, length: number): Promise<Buffer>
  /** Writes the whole buffer; a call that fails may have written a part of it. */
  write (position: number, data: Uint8Array): Promise<void>
  truncate (length: number): Promise<void>
  /** Resolves once content and length are on the disk. */
  sync (): Promise<void>
  close (): Promise<void>
}

/** What the package needs of a file system; names become durable with `syncFolder`. */
export interface FileSystem {
  /** Opens for reading and writing, and creates the file when it is missing. */
  open (path: string): Promise<FileHandle>
  /** Resolves to null when the file is missing. */
  readFile (path: string): Promise<Buffer | null>
  rename (from: string, to: string): Promise<void>
  /** Removes a file; a missing one is no error. */
  remove (path: string): Promise<void>
  /** Names in the folder in sorted order, or null when the folder is missing. */
  list (folder: string): Promise<string[] | null>
  /** Creates the folder and resolves to false when it was already there. */
  makeFolder (folder: string): Promise<boolean>
  syncFolder (folder: string): Promise<void>
}

/** The part of a log file that a crash left incomplete and that was cut off on opening. */
export interface TornTail {
  readonly file: string
  readonly offset: number
  readonly bytes: number
}
