/*
 * fg_proto - the inner protocol between instances, over ONC RPC.
 *
 * One procedure carries a batch of one-way messages and returns a batch for
 * the caller; see docs/PROTOCOL.md. Every message may be lost or repeated:
 * receivers are idempotent and senders repeat what has no reply yet.
 */

const FG_FORMAT = 1;            /* format number of every inner message */
const FG_NAME_MAX = 64;
const FG_ADDR_MAX = 48;
const FG_LIST_MAX = 256;
const FG_TEXT_MAX = 65536;
const FG_BATCH_MAX = 256;

struct fg_av {                  /* an adapter and its version, 0 is none */
	unsigned int adapter;
	unsigned int ver;
};

enum fg_msg_type {
	FG_MSG_PING = 1,
	FG_MSG_PONG = 2,
	FG_MSG_GRANT_REQ = 3,
	FG_MSG_GRANT_REP = 4,
	FG_MSG_RELEASE = 5,
	FG_MSG_NEED = 6,
	FG_MSG_PLACE = 7,
	FG_MSG_PLACE_REP = 8,
	FG_MSG_RESIDENT = 9,
	FG_MSG_GRANTS_ASK = 10,
	FG_MSG_GRANTS_TELL = 11,
	FG_MSG_HEAT = 12,
	FG_MSG_CONFIG_ASK = 13,
	FG_MSG_CONFIG_TELL = 14,
	FG_MSG_SUSPECT = 15,
	FG_MSG_LEAVING = 16,
	FG_MSG_OWNED = 17
};

/* Liveness, and what a peer must know at once. A pong echoes seq, which is
 * the sender's clock. Ages of UINT_MAX mean never. */
struct fg_ping {
	unsigned hyper seq;
	unsigned hyper revision;      /* configuration in force at the sender */
	unsigned int confirm_age_ms;  /* since that revision was confirmed */
	unsigned int platform_age_ms; /* since the sender reached the platform */
	unsigned int peer_platform_age_ms;    /* since another told the sender that it did */
	bool stopping;                /* sender is draining */
	bool may_act;                 /* sender may act, pauses aside */
};

enum fg_grant_status {
	FG_GRANT_OK = 0,
	FG_GRANT_NOT_OWNER = 1,       /* ask fg_grant_rep.owner instead */
	FG_GRANT_NOT_RESIDENT = 2,
	FG_GRANT_LEAVING = 3,
	FG_GRANT_RECOVERING = 4,
	FG_GRANT_NO_TIME = 5,
	FG_GRANT_OVERLOAD = 6,
	FG_GRANT_HELD = 7             /* queued; an OK or refusal follows */
};

/* Asks the owner for the use of one adapter on one endpoint. */
struct fg_grant_req {
	unsigned hyper req;           /* unique id of request and attempt */
	unsigned hyper ep;
	fg_av av;
	unsigned int cls;             /* enum fg_class */
	unsigned int budget_ms;       /* time left before the deadline */
	unsigned int hold_ms;         /* may wait so long for a batch to join */
	unsigned int hop;
};

struct fg_grant_rep {
	unsigned hyper req;
	unsigned hyper ep;
	fg_grant_status status;
	unsigned hyper grant;         /* id to release; 0 unless OK */
	unsigned hyper fence;
	unsigned hyper owner;         /* with NOT_OWNER, 0 if not known */
	unsigned int retry_after_ms;
};

struct fg_release {
	unsigned hyper ep;
	unsigned hyper grant;         /* 0 takes back an ask not yet answered */
	unsigned hyper req;
	unsigned int service_ms;      /* 0 when it never ran */
	bool crashed;                 /* the endpoint may run it still, or died */
};

/* A router has requests for an adapter that is resident nowhere it knows. */
struct fg_need {
	fg_av av;
	unsigned int waiting;
	unsigned int slack_ms;        /* smallest time to spare among them */
	unsigned int cls;             /* most urgent class among them */
};

/* The broker tells an owner to load an adapter on an endpoint. */
struct fg_place {
	unsigned hyper order;         /* broker's id, echoed in the reply */
	unsigned hyper ep;
	fg_av av;
	fg_av victim;                 /* suggestion; 0 is the owner's choice */
	unsigned hyper broker_fence;
};

enum fg_place_status {
	FG_PLACE_STARTED = 0,
	FG_PLACE_DONE = 1,
	FG_PLACE_REFUSED = 2,         /* all slots pinned, leaving, not owner */
	FG_PLACE_FAILED = 3           /* the load failed on the engine */
};

struct fg_place_rep {
	unsigned hyper order;
	unsigned hyper ep;
	fg_av av;
	fg_place_status status;
};

/* What an endpoint holds now; the whole list, so a lost one heals. */
struct fg_resident {
	unsigned hyper ep;
	unsigned hyper fence;
	unsigned hyper seq;           /* grows per endpoint and fence */
	unsigned int slots;
	unsigned int in_use;          /* grants in flight */
	unsigned int batch;           /* grants the endpoint takes at most */
	bool leaving;
	fg_av av<FG_LIST_MAX>;
};

struct fg_grant_info {
	unsigned hyper grant;
	unsigned hyper req;
	fg_av av;
	unsigned int left_ms;         /* until its hard deadline */
};

struct fg_grants_ask {
	unsigned hyper ep;
	unsigned hyper fence;         /* of the new owner */
};

struct fg_grants_tell {
	unsigned hyper ep;
	unsigned hyper fence;
	fg_grant_info grants<FG_LIST_MAX>;
};

/* Arrivals per adapter since the last report, for the broker. */
struct fg_heat_item {
	fg_av av;
	unsigned int count;
};

struct fg_heat {
	unsigned hyper seq;
	fg_heat_item items<FG_LIST_MAX>;
};

struct fg_config_ask {
	unsigned hyper from_revision; /* the sender holds this one */
};

/* Deltas in order, or a snapshot when the gap is too wide. */
struct fg_config_tell {
	unsigned hyper base;          /* revision it applies to; 0: snapshot */
	unsigned hyper revision;      /* revision after applying */
	string text<FG_TEXT_MAX>;     /* JSON */
	bool more;
};

struct fg_suspect {
	unsigned hyper fingerprint;
	fg_av av;
	unsigned hyper ep;
	unsigned int event;           /* enum fg_suspect_event */
	unsigned hyper req;
};

struct fg_leaving {
	unsigned hyper id;            /* endpoint, or 0 for the sender */
};

struct fg_owned {
	unsigned hyper ep;
	unsigned hyper fence;
	unsigned hyper owner;
};

union fg_body switch (fg_msg_type type) {
case FG_MSG_PING:
	fg_ping ping;
case FG_MSG_PONG:
	fg_ping pong;
case FG_MSG_GRANT_REQ:
	fg_grant_req grant_req;
case FG_MSG_GRANT_REP:
	fg_grant_rep grant_rep;
case FG_MSG_RELEASE:
	fg_release release;
case FG_MSG_NEED:
	fg_need need;
case FG_MSG_PLACE:
	fg_place place;
case FG_MSG_PLACE_REP:
	fg_place_rep place_rep;
case FG_MSG_RESIDENT:
	fg_resident resident;
case FG_MSG_GRANTS_ASK:
	fg_grants_ask grants_ask;
case FG_MSG_GRANTS_TELL:
	fg_grants_tell grants_tell;
case FG_MSG_HEAT:
	fg_heat heat;
case FG_MSG_CONFIG_ASK:
	fg_config_ask config_ask;
case FG_MSG_CONFIG_TELL:
	fg_config_tell config_tell;
case FG_MSG_SUSPECT:
	fg_suspect suspect;
case FG_MSG_LEAVING:
	fg_leaving leaving;
case FG_MSG_OWNED:
	fg_owned owned;
};

struct fg_msg {
	fg_body body;
};

/* A batch from one instance to another. */
struct fg_batch {
	unsigned int format;          /* FG_FORMAT */
	unsigned hyper from;          /* instance id of the sender */
	unsigned hyper to;            /* instance id meant; 0: any */
	fg_msg msgs<FG_BATCH_MAX>;
};

program FG_PEER_PROG {
	version FG_PEER_V1 {
		fg_batch FG_EXCHANGE(fg_batch) = 1;
	} = 1;
} = 0x20464761;
