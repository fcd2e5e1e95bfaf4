import { hashText } from "daisyturn-utils";

/** The fields of a request that determine its answer. */
export interface AnswerSource {
    readonly model: string;
    readonly adapter?: string;
    readonly prompt: string;
    readonly sampling?: { readonly stop?: readonly string[]; };
}

/** Words of the answers. Some contain multi-byte UTF-8 characters, so that tests detect split characters. */
const vocabulary = [
    "seat",
    "coach",
    "vůz",
    "jízdenka",
    "price",
    "trim",
    "dossier",
    "agaciro",
    "ikinyabiziga",
    "platform",
    "číslo",
    "verdict",
    "axle",
    "fare",
    "lístek",
    "paint",
    "mileage",
    "window",
    "nástupiště",
    "steam",
    "dealer",
    "guide",
    "žádost",
    "phone",
    "screen",
    "battery",
    "moto",
    "imodoka",
    "kolej",
    "report",
    "offer",
    "0,5€",
];
/** Marker in a prompt that sets the number of answer tokens. Used by tests and load generators. */
const lengthMarker = /<answer-tokens:(\d+)>/;
const minAnswerTokens = 32;
const answerLengthRange = 225;

/** The answer of one request, computed token by token. */
export interface Answer {
    /** Number of tokens after which the model ends the answer by itself. */
    readonly naturalLength: number;
    /** Returns the text of `count` tokens, starting at `offset`. */
    text(offset: number, count: number): string;
}

/** Computes the answer that every engine gives to a request. */
export function createAnswer(source: AnswerSource): Answer {
    const digest = hashText(`${source.model}\n${source.adapter ?? ""}\n${source.prompt}`);
    const seed = Number.parseInt(digest.slice(0, 8), 16);
    const marker = lengthMarker.exec(source.prompt);
    const naturalLength = marker ? Number(marker[1]) : minAnswerTokens + seed % answerLengthRange;
    const token = (index: number) => `${vocabulary[mix(seed, index) % vocabulary.length]} `;
    const text = (offset: number, count: number) => {
        let joined = "";
        for (let index = offset; index < offset + count; index++) {
            joined += token(index);
        }
        return joined;
    };
    const stops = source.sampling?.stop ?? [];
    return stops.length === 0 ? { naturalLength, text } : cutAtStop(naturalLength, token, stops);
}

/** Returns the complete text of an answer, for byte-by-byte comparison. */
export function expectedAnswer(source: AnswerSource, maxOutputTokens: number): string {
    const answer = createAnswer(source);
    return answer.text(0, Math.min(answer.naturalLength, maxOutputTokens));
}

/** Creates an answer that ends before the first occurrence of a stop text. */
function cutAtStop(naturalLength: number, token: (index: number) => string, stops: readonly string[]): Answer {
    const tokens: string[] = [];
    let whole = "";
    for (let index = 0; index < naturalLength; index++) {
        tokens.push(token(index));
        whole += tokens[index];
        const found = stops.map(stop => whole.indexOf(stop)).filter(position => position !== -1);
        if (found.length > 0) {
            return createCutAnswer(tokens, Math.min(...found));
        }
    }
    return createCutAnswer(tokens, whole.length);
}

function createCutAnswer(tokens: readonly string[], length: number): Answer {
    const kept: string[] = [];
    let position = 0;
    for (const text of tokens) {
        if (position >= length) {
            break;
        }
        kept.push(text.slice(0, length - position));
        position += text.length;
    }
    return { naturalLength: kept.length, text: (offset, count) => kept.slice(offset, offset + count).join("") };
}

/** Hashes a seed and an index to 32 bits with the finalizer of MurmurHash3. */
function mix(seed: number, index: number): number {
    let value = (seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0;
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b) >>> 0;
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35) >>> 0;
    return (value ^ (value >>> 16)) >>> 0;
}
