import { UserError, type UserErrorDetails } from "daisyturn-utils";
import { readFileSync } from "node:fs";
import Result from "true-myth/result";
import type { z } from "zod";
import { describeIssues } from "./describeIssues.js";
import { createOptionCatalogue } from "./optionCatalogue.js";
import { readSettingsDocument, type SyntaxProblem } from "./settingsDocument.js";

/** Reads one kind of settings file. */
export interface SettingsReader<Settings> {
    /** Returns the settings or, if the text is invalid, all problems in the order of their lines. */
    checkText(text: string, file?: string): Result<Settings, readonly UserErrorDetails[]>;
    checkFile(file: string): Result<Settings, readonly UserErrorDetails[]>;
    /** @throws UserError for the first problem; its message lists the places of the others */
    load(file: string): Settings;
}

/** Creates the reader of a kind of settings file. Remedies are built from the schema's descriptions and examples. */
export function createSettingsReader<Schema extends z.ZodType>(schema: Schema): SettingsReader<z.output<Schema>> {
    const catalogue = createOptionCatalogue(schema);

    const checkText = (text: string, file?: string): Result<z.output<Schema>, readonly UserErrorDetails[]> => {
        const document = readSettingsDocument(text);
        if (document.syntaxProblems.length > 0) {
            return Result.err(document.syntaxProblems.map(problem => describeSyntaxProblem(problem, file)));
        }
        const checked = schema.safeParse(document.value ?? undefined);
        if (checked.success) {
            return Result.ok(checked.data);
        }
        const problems = [...describeIssues(checked.error.issues, { document, catalogue, name: file })];
        return Result.err(problems.sort((left, right) => (left.line ?? 1) - (right.line ?? 1)));
    };

    const checkFile = (file: string) => {
        const text = readText(file);
        return text.isOk
            ? checkText(text.value, file)
            : Result.err<z.output<Schema>, readonly UserErrorDetails[]>([text.error]);
    };

    const load = (file: string) => {
        const checked = checkFile(file);
        if (checked.isOk) {
            return checked.value;
        }
        const [first, ...others] = checked.error;
        if (!first) {
            throw new Error("settings are invalid, but no problem was reported");
        }
        const more = others.length === 0 ? "" : ` (${others.length} more: ${others.map(describePlace).join(", ")})`;
        throw new UserError({ ...first, remedy: first.remedy + more });
    };

    return { checkText, checkFile, load };
}

function describePlace({ option, line }: UserErrorDetails): string {
    return `${option} in line ${line ?? 1}`;
}

function readText(file: string): Result<string, UserErrorDetails> {
    try {
        return Result.ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Result.err({
            option: "settings file",
            value: file,
            problem: `can't be read: ${(error as NodeJS.ErrnoException).code ?? "unknown error"}`,
            remedy: "Check the path and that the process's user may read it.",
        });
    }
}

function describeSyntaxProblem({ line, message }: SyntaxProblem, file: string | undefined): UserErrorDetails {
    return {
        file,
        line,
        option: "settings",
        value: "see the line",
        problem: `no valid YAML: ${message}`,
        remedy: "Correct the line.",
    };
}
