import * as eslint from "typescript-eslint";

export default eslint.config(
  { ignores: ["**/dist/**", "target/**", "**/generated/**", "node_modules/**", "scripts/**", "eslint.config.mjs"] },
  ...eslint.configs.strict,
  ...eslint.configs.stylistic,
  {
    rules: {
      "@typescript-eslint/no-restricted-imports": "off",
      "no-restricted-syntax": [
        "error",
        {
          selector: "ImportDeclaration > :not(ImportNamespaceSpecifier, Literal)",
          message: "Import the module as a namespace: import * as name from ...",
        },
      ],
    },
  },
);
