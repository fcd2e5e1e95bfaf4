/** The part of a streamed completion that was received so far. */
export interface StreamedText {
    /** Text of the tokens received so far. */
    readonly text: string;
    /** Number of tokens received, from the id of the last event. */
    readonly offset: number;
    /** Whether the `[DONE]` event was received. */
    readonly ended: boolean;
    /** Error object of the stream, as JSON. */
    readonly errorText?: string;
}

/** Collects the text of a completion from chunks of a server-sent event stream. */
export interface EventStreamText {
    /** Parses a chunk of the stream; returns whether it contained text. */
    append(piece: string): boolean;
    result(): StreamedText;
}

interface CompletionChunk {
    readonly choices?: readonly { readonly text?: string; readonly delta?: { readonly content?: string; }; }[];
    readonly error?: object;
}

const doneData = "[DONE]";

export function createEventStreamText(): EventStreamText {
    let rest = "";
    let text = "";
    let offset = 0;
    let ended = false;
    let errorText: string | undefined;

    const appendData = (data: string) => {
        if (data === doneData) {
            ended = true;
            return false;
        }
        const chunk = JSON.parse(data) as CompletionChunk;
        if (chunk.error) {
            errorText = JSON.stringify(chunk.error);
            return false;
        }
        const piece = chunk.choices?.[0]?.text ?? chunk.choices?.[0]?.delta?.content ?? "";
        text += piece;
        return piece !== "";
    };

    const appendLine = (line: string) => {
        if (line.startsWith("id: ")) {
            offset = Number(line.slice("id: ".length));
            return false;
        }
        return line.startsWith("data: ") && appendData(line.slice("data: ".length));
    };

    const append = (piece: string) => {
        const lines = (rest + piece).split("\n");
        rest = lines.pop() ?? "";
        return lines.filter(appendLine).length > 0;
    };

    return { append, result: () => ({ text, offset, ended, errorText }) };
}
