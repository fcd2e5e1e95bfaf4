import { type JsonObject, type JsonValue, UserError } from "daisyturn-utils";
import { parse } from "yaml";

/** Returns the item with `FIELD=VALUE` assignments applied and dropped fields removed; values are parsed as YAML. */
export function changeFields(
    item: JsonObject,
    assignments: readonly string[],
    dropped: readonly string[],
    fixed: readonly string[],
): JsonObject {
    const changed: JsonObject = { ...item };
    for (const assignment of assignments) {
        const { field, value } = readAssignment(assignment);
        refuseFixed(field, fixed);
        changed[field] = value;
    }
    for (const field of dropped) {
        refuseFixed(field, fixed);
        delete changed[field];
    }
    return changed;
}

function readAssignment(assignment: string): { readonly field: string; readonly value: JsonValue; } {
    const at = assignment.indexOf("=");
    if (at <= 0) {
        throw createProblem("--set", assignment, "must have the form FIELD=VALUE");
    }
    return { field: assignment.slice(0, at), value: parse(assignment.slice(at + 1)) as JsonValue };
}

function refuseFixed(field: string, fixed: readonly string[]): void {
    if (fixed.includes(field)) {
        throw createProblem("--set", field, "identifies the item and can't be changed");
    }
}

function createProblem(option: string, value: string, problem: string): UserError {
    return new UserError({ option, value, problem, remedy: "Write it as in: --set goodputWorth=3" });
}
