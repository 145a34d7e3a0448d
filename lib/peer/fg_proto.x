/*
 * fg_proto - protocol between instances, over ONC RPC; see docs/PROTOCOL.md.
 *
 * One procedure carries a batch of one-way messages and returns a batch for
 * its caller. A message may be lost or delivered twice: receivers are
 * idempotent, and senders repeat a request that has no reply yet.
 */

const FG_FORMAT = 1;            /* format number of the protocol */
const FG_NAME_MAX = 64;
const FG_ADDR_MAX = 48;
const FG_LIST_MAX = 256;
const FG_TEXT_MAX = 65536;
const FG_BATCH_MAX = 256;

struct fg_av {                  /* adapter and version; adapter 0: none */
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
	FG_MSG_POPULARITY = 12,
	FG_MSG_CONFIG_ASK = 13,
	FG_MSG_CONFIG_TELL = 14,
	FG_MSG_SUSPECT = 15,
	FG_MSG_LEAVING = 16,
	FG_MSG_OWNED = 17
};

/* Heartbeat: liveness and the sender's state. A pong echoes the seq of the
 * ping, which is the clock of the ping's sender. An age of UINT_MAX means
 * never. */
struct fg_ping {
	unsigned hyper seq;
	unsigned hyper revision;      /* configuration in force at the sender */
	unsigned int confirm_age_ms;  /* since that revision was confirmed */
	unsigned int platform_age_ms; /* since the sender reached the platform */
	unsigned int peer_platform_age_ms; /* since a peer of the sender did */
	bool stopping;                /* the sender is draining */
	bool may_act;                 /* its standing lets it act; pauses of its
				       * process are not considered */
};

enum fg_grant_status {
	FG_GRANT_OK = 0,
	FG_GRANT_NOT_OWNER = 1,       /* fg_grant_rep.owner is the owner */
	FG_GRANT_NOT_RESIDENT = 2,
	FG_GRANT_LEAVING = 3,
	FG_GRANT_RECOVERING = 4,
	FG_GRANT_NO_TIME = 5,
	FG_GRANT_OVERLOAD = 6,
	FG_GRANT_HELD = 7             /* queued; an OK or a refusal follows */
};

/* Requests a grant to run one request with an adapter on an endpoint. */
struct fg_grant_req {
	unsigned hyper req;           /* unique per request and attempt */
	unsigned hyper ep;
	fg_av av;
	unsigned int cls;             /* enum fg_class */
	unsigned int budget_ms;       /* time left before the deadline */
	unsigned int hold_ms;         /* longest wait for a batch to fill */
	unsigned int hop;
};

struct fg_grant_rep {
	unsigned hyper req;
	unsigned hyper ep;
	fg_grant_status status;
	unsigned hyper grant;         /* id to release; 0 unless OK */
	unsigned hyper fence;
	unsigned hyper owner;         /* with NOT_OWNER; 0: unknown */
	unsigned int retry_after_ms;
};

struct fg_release {
	unsigned hyper ep;
	unsigned hyper grant;         /* 0: withdraws an unanswered request */
	unsigned hyper req;
	unsigned int service_ms;      /* 0 when it did not run */
	bool crashed;                 /* the endpoint died or may still run it */
};

/* A router has requests for an adapter that no endpoint known to it holds. */
struct fg_need {
	fg_av av;
	unsigned int waiting;         /* number of requests; 0: no need left */
	unsigned int slack_ms;        /* smallest slack among them */
	unsigned int cls;             /* most urgent class among them */
};

/* The broker asks the owner of an endpoint to load an adapter there. */
struct fg_place {
	unsigned hyper order;         /* broker's id, echoed in the reply */
	unsigned hyper ep;
	fg_av av;
	fg_av victim;                 /* proposed eviction; 0: owner chooses */
	unsigned hyper broker_fence;
};

enum fg_place_status {
	FG_PLACE_STARTED = 0,
	FG_PLACE_DONE = 1,
	FG_PLACE_REFUSED = 2,         /* slots pinned, leaving or not the owner */
	FG_PLACE_FAILED = 3           /* the engine failed to load it */
};

struct fg_place_rep {
	unsigned hyper order;
	unsigned hyper ep;
	fg_av av;
	fg_place_status status;
};

/* Adapters resident on an endpoint. Always the complete list, so that the next
 * message makes up for a lost one. */
struct fg_resident {
	unsigned hyper ep;
	unsigned hyper fence;
	unsigned hyper seq;           /* increases per endpoint and fence */
	unsigned int slots;
	unsigned int in_use;          /* grants in flight */
	unsigned int batch;           /* most grants in flight */
	bool leaving;
	fg_av av<FG_LIST_MAX>;
};

struct fg_grant_info {
	unsigned hyper grant;
	unsigned hyper req;
	fg_av av;
	unsigned int left_ms;         /* until its hard deadline */
};

/* A new owner asks an instance for its grants on an endpoint. */
struct fg_grants_ask {
	unsigned hyper ep;
	unsigned hyper fence;         /* of the new owner */
};

/* Reply: the sender's grants on the endpoint. */
struct fg_grants_tell {
	unsigned hyper ep;
	unsigned hyper fence;
	fg_grant_info grants<FG_LIST_MAX>;
};

/* Requests that arrived per adapter since the last report, for the broker. */
struct fg_popularity_item {
	fg_av av;
	unsigned int count;
};

struct fg_popularity {
	unsigned hyper seq;
	fg_popularity_item items<FG_LIST_MAX>;
};

struct fg_config_ask {
	unsigned hyper from_revision; /* revision of the sender */
};

/* One delta of a sequence, or part of a snapshot when the gap is too large. */
struct fg_config_tell {
	unsigned hyper base;          /* revision before; 0: snapshot */
	unsigned hyper revision;      /* revision after applying the text */
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
	unsigned hyper id;            /* endpoint; 0: the sender itself */
};

/* Names the current owner of an endpoint. */
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
case FG_MSG_POPULARITY:
	fg_popularity popularity;
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
	unsigned hyper to;            /* instance id of the receiver; 0: any */
	fg_msg msgs<FG_BATCH_MAX>;
};

program FG_PEER_PROG {
	version FG_PEER_V1 {
		fg_batch FG_EXCHANGE(fg_batch) = 1;
	} = 1;
} = 0x20464761;
