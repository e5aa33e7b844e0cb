export declare const buildApp: (name: string, outDir?: string) => Promise<string>
