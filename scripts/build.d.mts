export declare const buildApp: (name: string, outDir?: string, entryPoint?: string) => Promise<string>
