// Which way imports may run: `npm run lint` fails on a circle or on an import that runs up.

/** Programs and what makes them up, the lowest floor first: a folder imports only from its own floor or from lower ones. */
const FLOORS = [
  ['core'],
  ['positions', 'retries', 'placement', 'metrics', 'memory', 'peers', 'mysql'],
  ['mysql-proxy', 'entry', 'explain'],
  ['emulation'],
  ['cli']
]

const pathOf = (folders) => `^src/(${folders.join('|')})/`

module.exports = {
  forbidden: [
    { name: 'no-circles', severity: 'error', from: {}, to: { circular: true } },
    ...FLOORS.slice(0, -1).map((folders, floor) => ({
      name: `${folders[0]}-imports-nothing-above`,
      severity: 'error',
      from: { path: pathOf(folders) },
      to: { path: pathOf(FLOORS.slice(floor + 1).flat()) }
    })),
    {
      name: 'two-programs',
      comment: 'The MySQL proxy and the entry process share the floors below them, and nothing else.',
      severity: 'error',
      from: { path: '^src/(mysql-proxy|entry)/' },
      to: { path: '^src/(mysql-proxy|entry)/', pathNot: '^src/$1/' }
    },
    {
      name: 'platform-knows-the-ports-only',
      severity: 'error',
      from: { path: '^platform/' },
      to: { path: '^src/', pathNot: '^src/(core|positions|entry/ports)/' }
    },
    {
      name: 'only-the-start-knows-the-platform',
      severity: 'error',
      from: { path: '^src/', pathNot: '^src/entry/start-entry\\.ts$' },
      to: { path: '^platform/' }
    }
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'node', 'default'] }
  }
}
