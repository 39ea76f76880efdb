import * as neostandard from 'neostandard'

const importedByName = 'ImportDeclaration:not([specifiers.length=0]):not(:has(ImportNamespaceSpecifier))'

export default [
  ...neostandard.default({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**', 'models/build/**'] }),
  {
    rules: {
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: importedByName, message: 'Import the module as a namespace.' },
        { selector: 'CallExpression[callee.property.name="forEach"]', message: 'Use a for of loop.' }
      ]
    }
  }
]
