import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import type { Sampling } from "../../ports/engine.js";

/** The supported forms of completions in the OpenAI HTTP API. */
export enum CompletionForm {
    Chat = "chat",
    Text = "text",
}

/** The parameters of a completion, independent of the form of the request. */
export interface CompletionBody {
    readonly form: CompletionForm;
    /** Name of the partner's service; `model` in the API. */
    readonly serviceName: string;
    readonly prompt: string;
    readonly maxOutputTokens?: number;
    readonly stream: boolean;
    /** Whether a stream ends with a chunk that contains the usage. */
    readonly includeUsage: boolean;
    readonly sampling?: Sampling;
}

const maxStopTexts = 4;
const maxTemperature = 2;

/** Parameters that would change the answer and are not supported. They are refused instead of ignored. */
const unsupportedParameters = [
    "audio",
    "best_of",
    "echo",
    "frequency_penalty",
    "functions",
    "logit_bias",
    "logprobs",
    "presence_penalty",
    "response_format",
    "suffix",
    "tools",
] as const;

const commonSchema = z.object({
    model: z.string().min(1).max(256),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: z.int().min(1).nullish(),
    max_completion_tokens: z.int().min(1).nullish(),
    temperature: z.number().min(0).max(maxTemperature).nullish(),
    top_p: z.number().min(0).max(1).nullish(),
    seed: z.int().nullish(),
    stop: z.union([z.string(), z.array(z.string()).max(maxStopTexts)]).nullish(),
    n: z.literal(1).nullish(),
});

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant"]),
    content: z.union([z.string(), z.array(textPartSchema)]),
});

const chatSchema = commonSchema.extend({ messages: z.array(messageSchema).min(1) });

const textSchema = commonSchema.extend({ prompt: z.union([z.string(), z.array(z.string()).length(1)]) });

type CommonBody = z.infer<typeof commonSchema>;
type ChatMessage = z.infer<typeof messageSchema>;

/** Parses the JSON body of a completion. Error messages name the field and never contain the caller's text. */
export function parseCompletion(form: CompletionForm, body: string): Result<CompletionBody, Failure> {
    return parseJson(body).andThen(json => readCompletion(form, json));
}

/** Validates a completion that was parsed as JSON. */
export function readCompletion(form: CompletionForm, json: unknown): Result<CompletionBody, Failure> {
    const unsupported = findUnsupportedParameter(json);
    if (unsupported !== undefined) {
        return err(refuse(`The parameter ${unsupported} is not supported.`));
    }
    return form === CompletionForm.Chat ? readChat(json) : readText(json);
}

/** Parses JSON text. The failure never contains the caller's text. */
export function parseJson(body: string): Result<unknown, Failure> {
    try {
        return ok(JSON.parse(body) as unknown);
    }
    catch {
        return err(refuse("The body is not valid JSON."));
    }
}

/** Converts a zod error into a failure that names the first invalid field. */
export function describeSchemaError(error: z.ZodError): Failure {
    const path = error.issues[0]?.path.join(".") ?? "";
    return refuse(path === "" ? "The body must be a JSON object." : `The field ${path} is missing or wrong.`);
}

function readChat(json: unknown): Result<CompletionBody, Failure> {
    const parsed = chatSchema.safeParse(json);
    if (!parsed.success) {
        return err(describeSchemaError(parsed.error));
    }
    return ok(buildBody(CompletionForm.Chat, parsed.data, renderChatPrompt(parsed.data.messages)));
}

function readText(json: unknown): Result<CompletionBody, Failure> {
    const parsed = textSchema.safeParse(json);
    if (!parsed.success) {
        return err(describeSchemaError(parsed.error));
    }
    const prompt = parsed.data.prompt;
    return ok(buildBody(CompletionForm.Text, parsed.data, typeof prompt === "string" ? prompt : prompt.join("")));
}

function buildBody(form: CompletionForm, body: CommonBody, prompt: string): CompletionBody {
    return {
        form,
        serviceName: body.model,
        prompt,
        maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
        stream: body.stream ?? false,
        includeUsage: body.stream_options?.include_usage ?? false,
        sampling: buildSampling(body),
    };
}

function buildSampling(body: CommonBody): Sampling | undefined {
    const sampling: Sampling = {
        temperature: body.temperature ?? undefined,
        topP: body.top_p ?? undefined,
        seed: body.seed ?? undefined,
        stop: typeof body.stop === "string" ? [body.stop] : body.stop ?? undefined,
    };
    return Object.values(sampling).some(value => value !== undefined) ? sampling : undefined;
}

/**
 * Renders a conversation as the text that the engine completes. Conversations with a common beginning give texts with a
 * common prefix, which the prefix cache relies on.
 */
function renderChatPrompt(messages: readonly ChatMessage[]): string {
    const turns = messages.map(message => `<|${message.role}|>\n${readContent(message.content)}\n`);
    return `${turns.join("")}<|assistant|>\n`;
}

function readContent(content: ChatMessage["content"]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}

function findUnsupportedParameter(json: unknown): string | undefined {
    if (typeof json !== "object" || !json) {
        return undefined;
    }
    const body = json as Record<string, unknown>;
    return unsupportedParameters.find(name => !hasNoEffect(body[name]));
}

/** Whether the value of a parameter has no effect: absent, off, empty, or plain text as the format. */
function hasNoEffect(value: unknown): boolean {
    if (typeof value !== "object" || !value) {
        return !value;
    }
    return Object.keys(value).length === 0 || (value as { type?: unknown; }).type === "text";
}

function refuse(message: string): Failure {
    return notRun(FailureReason.BadRequest, message);
}
