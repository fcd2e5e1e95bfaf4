import { UserError } from "daisyturn-utils";
import { readFileSync } from "node:fs";
import type { SecretSource, TlsFiles } from "./daemonSettings.js";

/** PEM texts of a TLS listener. */
export interface TlsTexts {
    readonly certificate: string;
    readonly key: string;
    readonly authority?: string;
}

/** Reads a secret from its file or environment variable. Errors name this source and never contain the secret. */
export function readSecret(source: SecretSource): string {
    const place = source.file === undefined
        ? `environment variable ${source.environment}`
        : `file ${source.file}`;
    const secret = source.file === undefined
        ? process.env[source.environment ?? ""]?.trim()
        : readTextFile(source.file).trim();
    if (!secret) {
        throw new UserError({
            option: place,
            value: "nothing",
            problem: "holds no secret",
            remedy: "Set it before the process starts, or name another place in the settings.",
        });
    }
    return secret;
}

/** Reads the files of a TLS listener. */
export function readTlsFiles(files: TlsFiles): TlsTexts {
    return {
        certificate: readTextFile(files.certificateFile),
        key: readTextFile(files.privateKeyFile),
        authority: files.authorityFile === undefined ? undefined : readTextFile(files.authorityFile),
    };
}

/** Reads the files for mutual TLS. */
export function readMutualTlsFiles(files: TlsFiles & { readonly authorityFile: string; }) {
    return { ...readTlsFiles(files), authority: readTextFile(files.authorityFile) };
}

function readTextFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw new UserError({
            option: `file ${file}`,
            value: "nothing",
            problem: `can't be read: ${(error as NodeJS.ErrnoException).code ?? "unknown error"}`,
            remedy: "Check the path and that the process's user may read it.",
        });
    }
}
