import type { UserErrorDetails } from "daisyturn-utils";
import type { z } from "zod";
import { findNearestName } from "./nearestName.js";
import { type CatalogueEntry, formatOptionPath, type OptionCatalogue, type OptionPath } from "./optionCatalogue.js";
import type { SettingsDocument } from "./settingsDocument.js";

type Issue = z.core.$ZodIssue;

const maxShownCharacters = 60;
const hiddenValue = "a value that is not shown";
const noValue = "nothing";

/** A settings file to check, and the options that it may contain. */
export interface CheckedFile {
    readonly document: SettingsDocument;
    readonly catalogue: OptionCatalogue;
    readonly name: string | undefined;
}

/** Converts schema issues into problems with the file, line, option, value and remedy. */
export function describeIssues(issues: readonly Issue[], file: CheckedFile): readonly UserErrorDetails[] {
    return issues.flatMap(issue =>
        issue.code === "unrecognized_keys"
            ? issue.keys.map(key => describeUnknownOption(toOptionPath(issue.path), key, file))
            : [describeIssue(issue, file)]
    );
}

function describeUnknownOption(section: OptionPath, name: string, file: CheckedFile): UserErrorDetails {
    const known = Object.keys(file.catalogue.findEntry(section)?.properties ?? {});
    const nearest = findNearestName(name, known);
    const place = section.length === 0 ? "at the top" : `in ${formatOptionPath(section)}`;
    return {
        file: file.name,
        line: file.document.findNameLine(section, name),
        option: formatOptionPath([...section, name]),
        // The misspelt option may be one that contains a secret.
        value: hiddenValue,
        problem: `there is no such option ${place}`,
        remedy: nearest === undefined
            ? `Remove it. Known ${place}: ${known.join(", ")}.`
            : `Did you mean ${nearest}?`,
    };
}

function describeIssue(issue: Issue, { document, catalogue, name }: CheckedFile): UserErrorDetails {
    const path = toOptionPath(issue.path);
    const value = readValue(document.value, path);
    return {
        file: name,
        line: document.findLine(path),
        option: formatOptionPath(path) || "settings",
        value: showValue(value, catalogue.mayShowValue(path)),
        problem: describeProblem(issue, value),
        remedy: describeRemedy(catalogue.findEntry(path), value, issue),
    };
}

function toOptionPath(path: readonly PropertyKey[]): OptionPath {
    return path.map(step => typeof step === "symbol" ? String(step) : step);
}

function readValue(root: unknown, path: OptionPath): unknown {
    return path.reduce<unknown>(
        (value, step) => typeof value === "object" ? (value as Record<string, unknown> | undefined)?.[step] : undefined,
        root ?? undefined,
    ) ?? undefined;
}

function showValue(value: unknown, mayBeShown: boolean): string {
    if (value === undefined) {
        return noValue;
    }
    if (!mayBeShown) {
        return hiddenValue;
    }
    if (typeof value === "object") {
        return Array.isArray(value) ? `a list of ${value.length}` : "a section";
    }
    const text = JSON.stringify(value);
    return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}…` : text;
}

function describeProblem(issue: Issue, value: unknown): string {
    if (value === undefined && issue.code !== "custom") {
        return "is missing";
    }
    switch (issue.code) {
        case "invalid_type":
            return `must be ${typeDescriptions[issue.expected] ?? issue.expected}`;
        case "too_small":
            return issue.origin === "array" || issue.origin === "string"
                ? "is too short"
                : `must be ${issue.inclusive ? "at least" : "greater than"} ${issue.minimum}`;
        case "too_big":
            return issue.origin === "array"
                ? `has more than ${issue.maximum} entries`
                : `must be at most ${issue.maximum}`;
        case "invalid_format":
            return "has the wrong form";
        default:
            return issue.message;
    }
}

const typeDescriptions: Readonly<Record<string, string>> = {
    string: "a text",
    number: "a number",
    int: "a whole number",
    boolean: "true or false",
    object: "a section with options of its own",
    array: "a list",
};

function describeRemedy(entry: CatalogueEntry | undefined, value: unknown, issue: Issue): string {
    const example = entry?.examples?.[0];
    const action = value === undefined ? "Add it" : isUnquotedText(value, issue) ? "Put it in quotes" : "Write it";
    const sample = example === undefined ? `${action}, with ${listRequired(entry)}.` : `${action} as in: ${example}`;
    return entry?.description === undefined ? sample : `${sample} (${entry.description})`;
}

/** Whether YAML parsed an unquoted text as a number or boolean, such as a hash like 12e45. */
function isUnquotedText(value: unknown, issue: Issue): boolean {
    const isPlain = typeof value === "number" || typeof value === "boolean";
    return isPlain && issue.code === "invalid_type" && issue.expected === "string";
}

function listRequired(entry: CatalogueEntry | undefined): string {
    const names = entry?.required ?? Object.keys(entry?.properties ?? {});
    return names.length > 0 ? names.join(", ") : "its options";
}
