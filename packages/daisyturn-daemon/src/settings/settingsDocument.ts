import { type Document, isMap, isNode, isPair, isScalar, LineCounter, parseDocument } from "yaml";
import type { OptionPath } from "./optionCatalogue.js";

/** A parsed settings file with the positions of its options. */
export interface SettingsDocument {
    readonly value: unknown;
    /** YAML syntax errors. */
    readonly syntaxProblems: readonly SyntaxProblem[];
    /** 1-based line of the option or, if it is absent, of its nearest enclosing section that is present. */
    findLine(path: OptionPath): number;
    /** 1-based line of a name in a section, which need not be a known option. */
    findNameLine(section: OptionPath, name: string): number;
}

/** A YAML syntax error. */
export interface SyntaxProblem {
    readonly line: number;
    readonly message: string;
}

/** Parses YAML and records the position of every option. */
export function readSettingsDocument(text: string): SettingsDocument {
    const lineCounter = new LineCounter();
    const document: Document = parseDocument(text, { lineCounter, prettyErrors: false });
    const syntaxProblems = document.errors.map(error => ({
        line: lineCounter.linePos(error.pos[0]).line,
        message: error.message,
    }));

    const findNameLine = (section: OptionPath, name: string) => {
        const node = section.length === 0 ? document.contents : document.getIn(section, true);
        const pair = isMap(node) ? node.items.find(item => isScalar(item.key) && item.key.value === name) : undefined;
        const key = isPair(pair) && isNode(pair.key) ? pair.key : undefined;
        return key?.range ? lineCounter.linePos(key.range[0]).line : undefined;
    };

    const findLine = (path: OptionPath): number => {
        const last = path.at(-1);
        if (last === undefined) {
            return 1;
        }
        const parent = path.slice(0, -1);
        const node = document.getIn(path, true);
        const line = typeof last === "string"
            ? findNameLine(parent, last)
            : isNode(node) && node.range
            ? lineCounter.linePos(node.range[0]).line
            : undefined;
        return line ?? findLine(parent);
    };

    return {
        value: syntaxProblems.length === 0 ? document.toJS() as unknown : undefined,
        syntaxProblems,
        findLine,
        findNameLine: (section, name) => findNameLine(section, name) ?? findLine(section),
    };
}
