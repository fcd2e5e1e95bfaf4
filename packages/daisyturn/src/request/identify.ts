import { type Failure, FailureReason, hashText, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type CallerAccount, type Profile, type Service, ServiceKind } from "../version/configurationItems.js";
import type { ConfigurationVersion } from "../version/configurationVersion.js";

const bearerPattern = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** A model service and its profile. */
export interface ModelService {
    readonly service: Service;
    readonly profile: Profile;
}

/** Finds the account of the caller's key. Only hashes of keys are stored. */
export function identifyAccount(
    version: ConfigurationVersion,
    authorization: string | undefined,
): Result<CallerAccount, Failure> {
    const key = bearerPattern.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        return err(notRun(FailureReason.Unauthenticated, "The Authorization header must be: Bearer KEY."));
    }
    const account = version.findAccountByKeyHash(hashText(key));
    return account ? ok(account) : err(notRun(FailureReason.Unauthenticated, "The key is not known."));
}

/** Finds a model service of the account's partner. */
export function identifyModelService(
    version: ConfigurationVersion,
    account: CallerAccount,
    name: string,
): Result<ModelService, Failure> {
    const found = identifyService(version, account, name, ServiceKind.Model);
    if (found.isErr) {
        return err(found.error);
    }
    const profile = version.findProfile(account.partner, found.value.profile ?? "");
    return profile
        ? ok({ service: found.value, profile })
        : err(notRun(FailureReason.NoTarget, "The service has no profile at the moment."));
}

/** Finds a plain service of the account's partner. */
export function identifyPlainService(
    version: ConfigurationVersion,
    account: CallerAccount,
    name: string,
): Result<Service, Failure> {
    return identifyService(version, account, name, ServiceKind.Plain);
}

function identifyService(
    version: ConfigurationVersion,
    account: CallerAccount,
    name: string,
    kind: ServiceKind,
): Result<Service, Failure> {
    const service = version.findService(account.partner, name);
    if (service?.serviceKind !== kind) {
        return err(notRun(FailureReason.NotFound, `There is no ${kind} service of that name.`));
    }
    return account.services.includes(name)
        ? ok(service)
        : err(notRun(FailureReason.Forbidden, "The account may not use this service."));
}
