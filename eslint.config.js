import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  ...neostandard({ ts: true, ignores: ['node_modules/**', 'target/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      'no-void': 'off',
      'max-lines': ['error', { max: 420, skipBlankLines: true, skipComments: true }],
      '@stylistic/max-len': ['error', { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'bench/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 300 }],
      'max-lines-per-function': ['error', { max: 80 }]
    }
  }
]
