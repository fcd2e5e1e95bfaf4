import { z } from "zod";
import {
    addressOption,
    countOption,
    describeOption,
    listenerOption,
    millisecondsOption,
    mutualTlsOption,
    rateOption,
    secretOption,
    textOption,
    tlsOption,
    tlsWithAuthorityOption,
} from "./optionTypes.js";

const mebibyte = 1024 * 1024;
const dayMilliseconds = 24 * 60 * 60 * 1_000;

const processSection = z.strictObject({
    id: describeOption(z.string().regex(/^[a-z0-9][a-z0-9.-]*$/), {
        description: "Name of the process: lower-case letters, digits, `-` and `.`. The same after a restart, and "
            + "never that of two processes at once.",
        example: "entry-1",
    }),
    vmId: textOption("Id of the VM as the platform lists it.", "vm-1"),
    availabilityZone: textOption("Availability zone of the VM as the platform names it.", "zone-1"),
});

const callersSection = z.strictObject({
    listen: listenerOption("Where callers connect.", 8080),
    tls: tlsOption("Makes the listener speak HTTPS.").optional(),
    maximumBodyBytes: countOption("Longest body of a request that is taken.", 4 * mebibyte).default(4 * mebibyte),
    balancerNoticeMilliseconds: millisecondsOption(
        "How long a stopping process still takes requests after it withdrew its readiness, for the balancer to notice.",
        2_000,
        0,
    ).default(2_000),
    drainMilliseconds: millisecondsOption("How long running requests may take to finish after that.", 60_000)
        .default(60_000),
});

const peersSection = z.strictObject({
    listen: listenerOption("Where the other entry processes connect.", 7600),
    advertise: addressOption(
        "Address that the other entry processes connect to, where it differs from the listener's.",
        "10.0.1.7:7600",
    ).optional(),
    seeds: describeOption(z.array(addressOption("Address of an entry process.", "10.0.1.8:7600")), {
        description: "Addresses of entry processes to begin with; the process's own may be among them.",
        example: "[10.0.1.8:7600, 10.0.2.7:7600]",
    }).default([]),
    secret: secretOption("Known to all entry processes of the cell and to nobody else.", "DAISYTURN_PEER_SECRET"),
    tls: mutualTlsOption("Makes the entry processes speak TLS among each other, each with a certificate.").optional(),
    heartbeatMilliseconds: millisecondsOption("Between two heartbeats.", 1_000).default(1_000),
});

const operatorKey = z.strictObject({
    partner: textOption("Partner that the operator acts for.", "nyamata"),
    name: textOption("Name that is recorded with each change.", "alice"),
    keyHash: describeOption(z.string().regex(/^[0-9a-f]{64}$/), {
        description: "SHA-256 of the operator's key in hexadecimal digits: `printf %s KEY | sha256sum`.",
        example: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
        isSecret: true,
    }),
});

const operatorsSection = z.strictObject({
    listen: listenerOption("Where operators connect.", 7700),
    tls: tlsWithAuthorityOption(
        "Makes the listener speak HTTPS; with an authority, operators must show a certificate as well.",
    ).optional(),
    keys: describeOption(z.array(operatorKey).min(1), {
        description: "Operators and the hashes of their keys.",
        example:
            "[{ partner: nyamata, name: alice, keyHash: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 }]",
    }),
});

const platformSection = z.strictObject({
    url: describeOption(z.url({ protocol: /^https?$/ }), {
        description: "URL of the platform's services.",
        example: "http://10.0.0.2:9000",
    }),
    writesPerSecond: rateOption(
        "This process's share of the table service's writes. The sum over all processes stays below what it takes.",
        30,
    ).default(30),
    readsPerSecond: rateOption("This process's share of the table service's reads.", 150).default(150),
});

const cellSection = z.strictObject({
    name: textOption("Name of the cell; the same for all its entry processes.", "kigali"),
    leaseMilliseconds: millisecondsOption(
        "How long the controller lease lasts without a renewal. After a controller's death no orders are given for "
            + "about so long.",
        6_000,
    ).default(6_000),
    outOfServiceMilliseconds: millisecondsOption(
        "A process that has heard neither the table service nor a majority of its peers for so long takes no new work.",
        5_000,
    ).default(5_000),
    planRoles: describeOption(z.boolean(), {
        description:
            "Whether the controller changes engines between prefill and decode by itself. Off until it is shown "
            + "to pay: see docs/design/role-planning.md. Operators can order role changes either way.",
        example: "false",
    }).default(false),
});

const resumptionSection = z.strictObject({
    keys: describeOption(
        z.array(secretOption("A key of resumption tokens.", "DAISYTURN_RESUMPTION_KEY")).min(1).max(2),
        {
            description: "Keys of the tokens with which a caller resumes a stream at another entry process. The first "
                + "one signs, all are accepted: to change the key, put the new one second everywhere, then first.",
            example: "[{ environment: DAISYTURN_RESUMPTION_KEY }]",
        },
    ),
});

const claimsSection = z.strictObject({
    answeredRetentionMilliseconds: millisecondsOption(
        "How long an answer is kept for repeats of a call with the same idempotency key. After that the key may run "
            + "again. Far above the difference between the VMs' wall clocks.",
        dayMilliseconds,
        60_000,
    ).default(dayMilliseconds),
    unknownRetentionMilliseconds: millisecondsOption(
        "How long it is kept that the outcome of a call is not known.",
        7 * dayMilliseconds,
        60_000,
    ).default(7 * dayMilliseconds),
    keptAnswerBytes: countOption("Longest body of an answer that is kept for repeats.", 65_536).default(65_536),
});

const logSection = z.strictObject({
    file: textOption("File for the log; where absent, lines go to standard output.", "/var/log/daisyturn.log")
        .optional(),
});

const metricsSection = z.strictObject({
    host: textOption("Name or IP number of the statsd server.", "10.0.0.9"),
    port: describeOption(z.int().min(1).max(65_535), { description: "Its UDP port.", example: "8125" }),
});

/** All options of the daemon's settings file. `docs/reference/settings.md` is generated from their texts. */
export const settingsSections = z.strictObject({
    process: processSection.meta({ description: "Which process this is." }),
    callers: callersSection.meta({ description: "The listener for callers." }),
    peers: peersSection.meta({ description: "The other entry processes of the cell." }),
    operators: operatorsSection.meta({ description: "The listener for operators." }),
    platform: platformSection.meta({ description: "The platform's services." }),
    cell: cellSection.meta({ description: "What the entry processes of a cell agree on." }),
    resumption: resumptionSection.meta({ description: "Resuming streams at another entry process." }),
    claims: claimsSection.meta({ description: "Calls that run at most once." }).prefault({}),
    log: logSection.meta({ description: "The log of events." }).prefault({}),
    metrics: metricsSection.meta({ description: "Metrics by statsd; where absent, none are sent." }).optional(),
});

/** The daemon's settings with defaults applied. */
export type DaemonSettings = z.infer<typeof settingsSections>;

/** The file or environment variable that contains a secret. */
export type SecretSource = DaemonSettings["peers"]["secret"];

/** Paths of the files of a TLS listener. */
export type TlsFiles = NonNullable<DaemonSettings["operators"]["tls"]>;
