/** An open file that is read and written at explicit positions. */
export interface FileHandle {
  readonly path: string
  size (): Promise<number>
  read (position: number, length: number): Promise<Buffer>
  /** Writes the whole buffer; a failed call may have written part of it. */
  write (position: number, data: Uint8Array): Promise<void>
  truncate (length: number): Promise<void>
  /** Resolves once content and length are durable. */
  sync (): Promise<void>
  close (): Promise<void>
}

/** File system operations that this package uses. Created, renamed and removed names become durable with `syncFolder`. */
export interface FileSystem {
  /** Opens the file for reading and writing; creates it when it is missing. */
  open (path: string): Promise<FileHandle>
  /** Resolves to null when the file is missing. */
  readFile (path: string): Promise<Buffer | null>
  rename (from: string, to: string): Promise<void>
  /** Removes the file; does nothing when it is missing. */
  remove (path: string): Promise<void>
  /** Resolves to the sorted names in the folder, or to null when the folder is missing. */
  list (folder: string): Promise<string[] | null>
  /** Creates the folder. Resolves to false when it already exists. */
  makeFolder (folder: string): Promise<boolean>
  syncFolder (folder: string): Promise<void>
}

/** The incomplete end of a log file that a crash left and that was removed on opening. */
export interface TornTail {
  readonly file: string
  readonly offset: number
  readonly bytes: number
}
