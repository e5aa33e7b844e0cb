const ORDER = [
  'common', 'crashes', 'timers', 'telemetry', 'settings', 'model', 'questionnaire', 'storage', 'consensus',
  'registers', 'membership', 'estimation', 'fairness', 'admission', 'scheduler', 'endpoint-tasks', 'gang', 'rpc', 'operator-client', 'endpoint-client', 'config-sync', 'gateway',
  'control', 'jobs', 'dispatch', 'relay', 'cluster'
]

const layered = ORDER.map((name, i) => ({
  name: `layer-${name}`,
  comment: 'A package imports only packages below it, so that the graph has no cycle.',
  severity: 'error',
  from: { path: `^packages/${name}/src` },
  to: { path: `^packages/(${ORDER.slice(i + 1).join('|') || '$^'})/` }
}))

module.exports = {
  forbidden: [
    ...layered,
    { name: 'no-circular', severity: 'error', from: {}, to: { circular: true, viaOnly: { dependencyTypesNot: ['type-only'] } } },
    {
      name: 'barrel-only',
      comment: 'Other packages import src/index.ts and nothing behind it.',
      severity: 'error',
      from: { path: '^(packages|apps)/([^/]+)/' },
      to: { path: '^packages/([^/]+)/src/(?!index\\.ts$)', pathNot: '^packages/$2/' }
    },
    {
      name: 'no-app-imports',
      severity: 'error',
      from: { path: '^packages/' },
      to: { path: '^(apps|platform|scripts)/' }
    }
  ],
  options: {
    tsConfig: { fileName: 'tsconfig.json' },
    tsPreCompilationDeps: true,
    doNotFollow: { path: 'node_modules' },
    exclude: { path: '/dist/' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'types', 'default'] }
  }
}
