const lines = [
    "process: { id: entry-1, vmId: vm-1, availabilityZone: zone-1 }",
    "callers:",
    "  listen: { host: 127.0.0.1, port: 8080 }",
    "peers:",
    "  listen: { host: 127.0.0.1, port: 7600 }",
    "  seeds:",
    "    - 127.0.0.1:7600",
    "  secret: { environment: DAISYTURN_TEST_SECRET }",
    "operators:",
    "  listen: { host: 127.0.0.1, port: 7700 }",
    "  keys:",
    "    - partner: nyamata",
    "      name: alice",
    `      keyHash: ${"a".repeat(64)}`,
    "platform: { url: 'http://127.0.0.1:9000' }",
    "cell: { name: kigali }",
    "resumption:",
    "  keys: [{ environment: DAISYTURN_TEST_KEY }]",
];

/** A minimal valid settings file. */
export const validSettingsText = lines.join("\n");

/** The minimal settings file with one line (1-based) replaced; an empty text removes its content. */
export function createSettingsText(line: number, text: string): string {
    return lines.map((...[old, index]) => index === line - 1 ? text : old).join("\n");
}
