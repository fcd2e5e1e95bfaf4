import tseslint from "typescript-eslint";

const noNull = {
    selector: "Literal[raw='null']",
    message: "Use undefined, not null; a library that demands null gets a named constant.",
};

/** The parts of `process/`. A part may import only parts that precede it in this list, so there are no cycles. */
const processParts = [
    "peers",
    "crashes",
    "store",
    "configuration",
    "targets",
    "lease",
    "membership",
    "health",
    "load",
    "claims",
    "routing",
    "admission",
    "orders",
    "roles",
    "forwarding",
];

const processFolder = "packages/daisyturn/src/process";

/** Forbids imports whose path matches the regular expression. */
function forbidImports(regex, message) {
    return { "no-restricted-imports": ["error", { patterns: [{ regex, message }] }] };
}

const throughIndex = "Import a part of process/ through its index.js.";

/** Rules of one part: it imports earlier parts only through their index.js, and no later parts. */
function partRules(part, index) {
    const later = processParts.slice(index).filter(name => name !== part).join("|") || "none";
    const earlier = processParts.slice(0, index).join("|") || "none";
    const createRules = (files, up) => {
        const regex = `^${up}(?:(?:${earlier})/(?!index\\.js$)|(?:${later})/)`;
        return { files: [files], rules: forbidImports(regex, `${throughIndex} ${part} may use only: ${earlier}.`) };
    };
    return [
        createRules(`${processFolder}/${part}/*.ts`, "\\.\\./"),
        createRules(`${processFolder}/${part}/!(__*)/*.ts`, "\\.\\./\\.\\./"),
    ];
}

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "out/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-restricted-syntax": ["error", noNull],
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 160, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: true }],
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                {
                    selector: ["function", "parameter", "classMethod"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        files: ["packages/daisyturn/src/**/*.ts"],
        ignores: [`${processFolder}/**`, "**/__tests__/**", "**/__fixtures__/**"],
        rules: forbidImports(`^(?:\\.\\.?/)+process/(?:${processParts.join("|")})/(?!index\\.js$)`, throughIndex),
    },
    ...processParts.flatMap(partRules),
    {
        // The bundle is CommonJS, so node starts without its ES module loader.
        files: ["scripts/bundle/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        // The describe block of a test contains many short cases; the limit per file still applies.
        files: ["packages/*/src/**", "platform/src/**"].flatMap(
            sources => [`${sources}/__tests__/**`, `${sources}/__fixtures__/**`],
        ),
        rules: {
            "max-lines-per-function": "off",
            "@typescript-eslint/no-floating-promises": ["error", {
                ignoreVoid: true,
                allowForKnownSafeCalls: [{
                    from: "package",
                    name: ["test", "describe", "it", "suite"],
                    package: "node:test",
                }],
            }],
        },
    },
);
