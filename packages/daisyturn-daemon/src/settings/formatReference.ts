import { daemonSettingsSchema } from "./daemonSettings.js";
import { type CatalogueEntry, createOptionCatalogue } from "./optionCatalogue.js";

const intro = `# Settings of the daemon

<!-- Made from packages/daisyturn-daemon/src/settings/daemonSettings.ts by \`npm run reference\`. Don't edit. -->

\`daisyturn-daemon serve --settings FILE\` reads one YAML file. An option that is not listed here is an error, and so is
a value of the wrong kind: the message names file, line, option, value and remedy. \`daisyturn settings check FILE\`
shows all problems of a file without starting anything. Options without a default must be set.

Secrets never stand in the file. Where one is asked for, the file names its place:
\`{ file: /run/secrets/daisyturn }\` or \`{ environment: DAISYTURN_PEER_SECRET }\`. Values of secrets, of hashes of keys
and of unknown options are never shown in messages or logs.
`;

const tableHead = "| option | kind | default | meaning |\n| --- | --- | --- | --- |\n";

/** Returns the reference page in Markdown, with one section for each section of the settings file. */
export function formatReference(): string {
    const { root } = createOptionCatalogue(daemonSettingsSchema);
    const sections = Object.entries(root.properties ?? {})
        .map(([name, section]) => formatSection(name, section));
    return [intro, ...sections].join("\n");
}

function formatSection(name: string, section: CatalogueEntry): string {
    const rows = listOptions(name, section, false).map(formatRow).join("");
    return `## ${name}\n\n${section.description ?? ""}\n\n${tableHead}${rows}`;
}

interface ListedOption {
    readonly path: string;
    readonly entry: CatalogueEntry;
    readonly isRequired: boolean;
    /** Whether it belongs to an optional section or to an entry of a list. */
    readonly isConditional: boolean;
}

/** Lists the options of a section, each followed by those of its subsection or list entries. */
function listOptions(path: string, section: CatalogueEntry, isConditional: boolean): ListedOption[] {
    return Object.entries(section.properties ?? {}).flatMap(([name, entry]) => {
        const optionPath = `${path}.${name}`;
        const isRequired = section.required?.includes(name) ?? false;
        const below = entry.items?.properties
            ? listOptions(`${optionPath}[]`, entry.items, true)
            : listOptions(optionPath, entry, isConditional || !isRequired);
        return [{ path: optionPath, entry, isRequired, isConditional }, ...below];
    });
}

function formatRow(option: ListedOption): string {
    const { path, entry } = option;
    const description = escapeCell(entry.description ?? "");
    return `| \`${path}\` | ${formatKind(entry)} | ${formatDefault(option)} | ${description} |\n`;
}

function formatKind(entry: CatalogueEntry): string {
    switch (entry.type) {
        case "object":
            return "section";
        case "array":
            return `list${entry.maxItems === undefined ? "" : `, at most ${entry.maxItems}`}`;
        case "string":
            return "text";
        case "integer":
        case "number":
            return `${entry.type === "integer" ? "whole number" : "number"}${formatRange(entry)}`;
        default:
            return entry.type ?? "";
    }
}

function formatRange(entry: CatalogueEntry): string {
    if (entry.exclusiveMinimum !== undefined) {
        return ` above ${entry.exclusiveMinimum}`;
    }
    const isOpen = entry.maximum === undefined || entry.maximum === Number.MAX_SAFE_INTEGER;
    return isOpen ? ` from ${entry.minimum ?? 0}` : ` from ${entry.minimum ?? 0} to ${entry.maximum}`;
}

function formatDefault({ entry, isRequired, isConditional }: ListedOption): string {
    if (isRequired) {
        return isConditional ? "must be set there" : "must be set";
    }
    return entry.default === undefined ? "none" : `\`${JSON.stringify(entry.default)}\``;
}

function escapeCell(text: string): string {
    return text.replaceAll("|", "\\|");
}
