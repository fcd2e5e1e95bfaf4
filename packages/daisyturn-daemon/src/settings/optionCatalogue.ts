import { z } from "zod";

/** An option or a section, with the JSON Schema fields that the reference page and the remedies use. */
export interface CatalogueEntry {
    readonly type?: string;
    readonly description?: string;
    readonly examples?: readonly string[];
    readonly isSecret?: boolean;
    readonly default?: unknown;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly maxItems?: number;
    readonly properties?: Readonly<Record<string, CatalogueEntry>>;
    readonly required?: readonly string[];
    readonly items?: CatalogueEntry;
}

/** Path from the root of the settings to an option: names and list indexes. */
export type OptionPath = readonly (string | number)[];

/** All options of a schema. */
export interface OptionCatalogue {
    readonly root: CatalogueEntry;
    /** Returns the entry of an option; undefined if the path names none. */
    findEntry(path: OptionPath): CatalogueEntry | undefined;
    /** Whether the value at the path may be shown: false below a secret and for unknown options. */
    mayShowValue(path: OptionPath): boolean;
}

/** Reads the catalogue from a schema. */
export function createOptionCatalogue(schema: z.ZodType): OptionCatalogue {
    const root = z.toJSONSchema(schema, { io: "input" }) as CatalogueEntry;

    const findEntry = (path: OptionPath) =>
        path.reduce<CatalogueEntry | undefined>(
            (entry, step) => typeof step === "number" ? entry?.items : entry?.properties?.[step],
            root,
        );

    const mayShowValue = (path: OptionPath) => {
        const entries = path.map((...[, index]) => findEntry(path.slice(0, index + 1)));
        return entries.every(entry => entry !== undefined && entry.isSecret !== true);
    };

    return { root, findEntry, mayShowValue };
}

/** Formats a path as in `operators.keys[0].name`. */
export function formatOptionPath(path: OptionPath): string {
    const text = path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("");
    return text.startsWith(".") ? text.slice(1) : text;
}
