import { isIP } from "node:net";
import { z } from "zod";

/** Texts about an option on the reference page and in remedies. */
export interface OptionText {
    readonly description: string;
    /** A valid value in YAML. */
    readonly example: string;
    /** Whether the value is a secret, or derived from one, and is never shown. */
    readonly isSecret?: boolean;
}

const maxPort = 65_535;
const addressPattern = /^(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;

/** Adds the texts about an option to its schema. */
export function describeOption<Schema extends z.ZodType>(schema: Schema, text: OptionText): Schema {
    return schema.meta({ description: text.description, examples: [text.example], isSecret: text.isSecret });
}

/** A text that must not be empty. */
export function textOption(description: string, example: string) {
    return describeOption(z.string().min(1), { description, example });
}

/** A duration in milliseconds. */
export function millisecondsOption(description: string, example: number, minimum = 1) {
    return describeOption(z.number().min(minimum), { description, example: String(example) });
}

/** A positive integer. */
export function countOption(description: string, example: number) {
    return describeOption(z.int().min(1), { description, example: String(example) });
}

/** A positive number. */
export function rateOption(description: string, example: number) {
    return describeOption(z.number().positive(), { description, example: String(example) });
}

/** An IP address and a port. */
export function addressOption(description: string, example: string) {
    const schema = z.string().refine(isAddress, "must be an IP number and a port");
    return describeOption(schema, { description, example });
}

/** The IP address and port of a listener. */
export function listenerOption(description: string, examplePort: number) {
    const host = z.string().refine(text => isIP(text) > 0, "must be an IP number");
    const listener = z.strictObject({
        host: describeOption(host, { description: "IP number to listen on.", example: "10.0.1.7" }),
        port: describeOption(z.int().min(0).max(maxPort), {
            description: "Port to listen on; 0 takes any free one.",
            example: String(examplePort),
        }),
    });
    return describeOption(listener, { description, example: `{ host: 10.0.1.7, port: ${examplePort} }` });
}

/** The file or environment variable that contains a secret; the secret itself is never part of the settings. */
export function secretOption(description: string, environment: string) {
    const schema = z.strictObject({
        file: textOption("File that holds the secret; blanks around it are dropped.", "/run/secrets/daisyturn")
            .optional(),
        environment: textOption("Environment variable that holds the secret.", environment).optional(),
    }).refine(
        place => (place.file === undefined) !== (place.environment === undefined),
        "must name a file or an environment variable, and not both",
    );
    const example = `{ environment: ${environment} }`;
    return describeOption(schema, { description, example, isSecret: true });
}

/** Files of a TLS listener that requires no client certificate. */
export function tlsOption(description: string) {
    return describeOption(z.strictObject(createTlsFiles()), { description, example: createTlsExample("") });
}

/** Files of a TLS listener that requires client certificates if an authority is set. */
export function tlsWithAuthorityOption(description: string) {
    const schema = z.strictObject({ ...createTlsFiles(), authorityFile: createAuthorityFile().optional() });
    return describeOption(schema, { description, example: createTlsExample("") });
}

/** Files for mutual TLS. */
export function mutualTlsOption(description: string) {
    const schema = z.strictObject({ ...createTlsFiles(), authorityFile: createAuthorityFile() });
    const example = createTlsExample(", authorityFile: /etc/daisyturn/authority.pem");
    return describeOption(schema, { description, example });
}

function createTlsFiles() {
    return {
        certificateFile: textOption("PEM file with the certificate and its chain.", "/etc/daisyturn/certificate.pem"),
        privateKeyFile: textOption("PEM file with the private key.", "/etc/daisyturn/key.pem"),
    };
}

function createAuthorityFile() {
    return textOption(
        "PEM file of the authority that signed the other side's certificate.",
        "/etc/daisyturn/authority.pem",
    );
}

function createTlsExample(more: string): string {
    return `{ certificateFile: /etc/daisyturn/certificate.pem, privateKeyFile: /etc/daisyturn/key.pem${more} }`;
}

function isAddress(text: string): boolean {
    const match = addressPattern.exec(text);
    const host = match?.[1]?.replace(/[[\]]/g, "") ?? "";
    return isIP(host) > 0 && Number(match?.[2]) <= maxPort;
}
