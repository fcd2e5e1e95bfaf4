import {
    createSettingsReader,
    describeOption,
    readSecret,
    secretOption,
    textOption,
    tlsOption,
} from "daisyturn-daemon";
import { UserError } from "daisyturn-utils";
import { z } from "zod";
import type { Terminal } from "../terminal.js";

/** Environment variables of the client. */
export enum ClientVariable {
    /** Comma-separated URLs of the operators' listeners. */
    Operators = "DAISYTURN_OPERATORS",
    /** The operator's key. */
    Key = "DAISYTURN_OPERATOR_KEY",
    /** Settings file to use where the command does not name one. */
    Settings = "DAISYTURN_CLIENT_SETTINGS",
}

const url = z.url({ protocol: /^https?$/ });

const clientSettingsSchema = z.strictObject({
    operators: describeOption(z.array(url).min(1), {
        description:
            "URLs of the entry processes' listeners for operators; if one can't be reached, the next one is tried.",
        example: "[https://10.0.1.7:7700, https://10.0.2.7:7700]",
    }),
    key: secretOption("The operator's key.", ClientVariable.Key),
    authorityFile: textOption(
        "PEM file of the certificate authority that signed the listeners' certificates.",
        "authority.pem",
    )
        .optional(),
    tls: tlsOption("Client certificate, where the listeners require one.").optional(),
});

const clientSettingsReader = createSettingsReader(clientSettingsSchema);

/** How the client connects to the fleet. */
export interface ClientSettings {
    readonly operators: readonly string[];
    readonly key: string;
    readonly authorityFile?: string;
    readonly tls?: { readonly certificateFile: string; readonly privateKeyFile: string; };
}

/** Connection flags of the command line. */
export interface ClientFlags {
    readonly address?: readonly string[];
    readonly settings?: string;
}

/** Loads the client's settings. Flags override environment variables, which override the settings file. */
export function loadClientSettings(flags: ClientFlags, { environment }: Terminal): ClientSettings {
    const file = flags.settings ?? environment[ClientVariable.Settings];
    const settings = file === undefined ? undefined : clientSettingsReader.load(file);
    const operators = flags.address ?? environment[ClientVariable.Operators]?.split(",") ?? settings?.operators ?? [];
    operators.forEach(checkAddress);
    if (operators.length === 0) {
        throw createMissingError(
            "address",
            `Set ${ClientVariable.Operators}, or use --address URL or --settings FILE.`,
        );
    }
    const key = environment[ClientVariable.Key] ?? (settings && readSecret(settings.key));
    if (!key) {
        throw createMissingError("operator's key", `Set ${ClientVariable.Key}, or configure it in a settings file.`);
    }
    return { operators, key, authorityFile: settings?.authorityFile, tls: settings?.tls };
}

function checkAddress(address: string): void {
    if (!url.safeParse(address).success) {
        throw new UserError({
            option: "address",
            value: address,
            problem: "must be a URL",
            remedy: "Write it as in: https://10.0.1.7:7700",
        });
    }
}

function createMissingError(option: string, remedy: string): UserError {
    return new UserError({ option, value: "nothing", problem: "is missing", remedy });
}
