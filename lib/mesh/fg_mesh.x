/*
 * fg_mesh - datagrams between the instances of a gateway.
 *
 * One datagram holds one fg_mesh_packet in XDR. A datagram may be lost,
 * duplicated or reordered: heartbeats and uses carry complete state instead of
 * changes, and a request is repeated until it is answered.
 */

const FG_MESH_FORMAT = 3;       /* first field of every packet */
const FG_MESH_NAME_MAX = 95;
const FG_MESH_LIST_MAX = 64;
const FG_MESH_ADAPTERS_MAX = 32;

enum fg_mesh_state {
	FG_MESH_STARTING = 0,   /* does not accept callers yet */
	FG_MESH_READY = 1,
	FG_MESH_LEAVING = 2,    /* planned stop */
	FG_MESH_CUT = 3         /* ready, but reaches endpoints only through
	                         * other instances */
};

struct fg_mesh_use {            /* in-flight requests of the sender */
	unsigned hyper ep;
	unsigned hyper adapter;         /* 0: requests without an adapter */
	unsigned int running;
	unsigned int pending_tokens;    /* prompt tokens before a first token */
};

struct fg_mesh_adapter {
	unsigned hyper adapter;
	unsigned hyper ver;     /* 0: being loaded */
};

struct fg_mesh_engine {         /* an engine that takes orders from the sender */
	unsigned hyper ep;
	unsigned int running;           /* requests of all instances */
	unsigned int pending_tokens;    /* of all instances */
	unsigned int spare_age_ms;      /* idle time of the next adapter to evict;
	                                 * UINT_MAX: a slot is free; 0: no slot
	                                 * can be freed */
	unsigned int queue;             /* queued load requests */
	unsigned int fetch_wait_ms;     /* until a load from the weight store
	                                 * can start */
	fg_mesh_adapter adapters<FG_MESH_ADAPTERS_MAX>;
};

struct fg_mesh_crash {          /* an endpoint crashed during a request */
	unsigned hyper fingerprint;
	unsigned hyper ep;
	unsigned hyper req;
};

struct fg_mesh_feed {           /* a table of the platform's store */
	unsigned hyper newest;  /* version of the newest relevant row */
	unsigned hyper read;    /* all rows up to this version were read */
};

const FG_MESH_FEEDS = 3;        /* configuration, registry, own table */
const FG_MESH_STORE_LOST = 4294967295; /* as age_ms: reads of the registry fail */

struct fg_mesh_store {          /* the sender's view of the store */
	bool reads;             /* reads the store and relays rows to others */
	unsigned int age_ms;    /* since the last answered registry read */
	bool proves;            /* may order at the engines that it owns */
	unsigned int own_age_ms; /* since the sending of the last answered read
	                          * of the own table; UINT_MAX: none */
	unsigned hyper sent_at;  /* by the sender's steady clock, in ms */
	fg_mesh_feed feeds[FG_MESH_FEEDS];
};

struct fg_mesh_heartbeat {
	fg_mesh_state state;
	fg_mesh_store store;
	fg_mesh_engine engines<FG_MESH_LIST_MAX>;
	fg_mesh_crash crashes<FG_MESH_LIST_MAX>;
};

struct fg_mesh_load_req {       /* asks for an adapter to be loaded */
	unsigned hyper ep;
	string model<FG_MESH_NAME_MAX>;
	string adapter<FG_MESH_NAME_MAX>;
	unsigned hyper ver;     /* minimum version; 0: any */
};

enum fg_mesh_answer {
	FG_MESH_NOT_OWNER = 0,
	FG_MESH_PENDING = 1, /* queued or loading */
	FG_MESH_RESIDENT = 2,
	FG_MESH_FULL = 3
};

struct fg_mesh_load_rep {
	unsigned hyper ep;
	unsigned hyper adapter;
	unsigned hyper ver;
	fg_mesh_answer answer;
};

struct fg_mesh_uses {           /* sent to the instance that orders the engines */
	fg_mesh_use list<FG_MESH_LIST_MAX>;
};

/* Asks the instance that orders an engine for its total load. */
struct fg_mesh_totals_ask {
	unsigned int request;   /* chosen by the sender, echoed in the reply */
	unsigned hyper ep;
};

struct fg_mesh_totals {
	unsigned int request;
	unsigned hyper ep;
	unsigned int running;           /* requests of all instances */
	unsigned int pending_tokens;    /* of all instances */
};

/* What the sender knows of parts of prompts that crash endpoints; the fields
 * are those of struct fg_blame_note. */
struct fg_mesh_note {
	unsigned int kind;
	unsigned hyper part;
	unsigned int age_ms;
	unsigned hyper ep;
	unsigned int depth;
	bool begun;
	unsigned int deaths;
	unsigned int proven;
	unsigned int trials;
};

struct fg_mesh_notes {
	fg_mesh_note list<FG_MESH_LIST_MAX>;
};

struct fg_mesh_origin {         /* the software version that began a stream */
	unsigned hyper stream;
	unsigned hyper service;
	unsigned hyper software;
};

struct fg_mesh_origins {
	fg_mesh_origin list<FG_MESH_LIST_MAX>;
};

/* Asks which software version began a stream that a caller takes up. */
struct fg_mesh_origin_ask {
	unsigned int request;   /* chosen by the sender, echoed in the reply */
	unsigned hyper stream;  /* 0: the caller names none */
	unsigned hyper service;
};

struct fg_mesh_origin_rep {
	unsigned int request;
	unsigned hyper software; /* 0: not known */
};

/* What an endpoint said in an answer that came through the receiver. */
struct fg_mesh_ep_said {
	unsigned hyper ep;
	bool leaving;
	unsigned int pause_ms;
};

/* Asks the holder of a workspace's account for tokens of its limit. */
struct fg_mesh_quota_ask {
	unsigned int request;   /* chosen by the sender, echoed in the reply */
	unsigned hyper workspace;       /* hash of the name */
	unsigned int tokens;            /* wanted; 0: only returns some */
	unsigned int returned;          /* of earlier leases, not spent */
	unsigned int need;              /* fewer are of no use */
};

enum fg_mesh_quota_answer {
	FG_MESH_QUOTA_GRANTED = 0,
	FG_MESH_QUOTA_REFUSED = 1,      /* the limit is used up */
	FG_MESH_QUOTA_NOT_HOLDER = 2    /* does not keep the account */
};

struct fg_mesh_quota_rep {
	unsigned int request;
	unsigned hyper workspace;
	fg_mesh_quota_answer answer;
	unsigned int tokens;            /* granted */
	unsigned int valid_ms;          /* of the grant */
	unsigned int retry_ms;          /* until tokens can be granted */
};

enum fg_mesh_kind {
	FG_MESH_HEARTBEAT = 1,
	FG_MESH_LOAD_REQ = 2,
	FG_MESH_LOAD_REP = 3,
	FG_MESH_USES = 4,
	FG_MESH_TOTALS_ASK = 5,
	FG_MESH_TOTALS = 6,
	FG_MESH_NOTES = 7,
	FG_MESH_ORIGINS = 8,
	FG_MESH_ORIGIN_ASK = 9,
	FG_MESH_ORIGIN_REP = 10,
	FG_MESH_EP_SAID = 11,
	FG_MESH_QUOTA_ASK = 12,
	FG_MESH_QUOTA_REP = 13
};

union fg_mesh_body switch (fg_mesh_kind kind) {
case FG_MESH_HEARTBEAT:
	fg_mesh_heartbeat hb;
case FG_MESH_LOAD_REQ:
	fg_mesh_load_req load_req;
case FG_MESH_LOAD_REP:
	fg_mesh_load_rep load_rep;
case FG_MESH_USES:
	fg_mesh_uses uses;
case FG_MESH_TOTALS_ASK:
	fg_mesh_totals_ask totals_ask;
case FG_MESH_TOTALS:
	fg_mesh_totals totals;
case FG_MESH_NOTES:
	fg_mesh_notes notes;
case FG_MESH_ORIGINS:
	fg_mesh_origins origins;
case FG_MESH_ORIGIN_ASK:
	fg_mesh_origin_ask origin_ask;
case FG_MESH_ORIGIN_REP:
	fg_mesh_origin_rep origin_rep;
case FG_MESH_EP_SAID:
	fg_mesh_ep_said ep_said;
case FG_MESH_QUOTA_ASK:
	fg_mesh_quota_ask quota_ask;
case FG_MESH_QUOTA_REP:
	fg_mesh_quota_rep quota_rep;
};

/* Rows that one instance reads from another, over HTTP instead of datagrams. */
/* A configuration of 10,000 keys takes 0.4 to 1 MB; an answer to a call takes at
 * most 4 MB. */
const FG_MESH_ROW_BYTES = 3145728;
const FG_MESH_ROWS_MAX = 4096;

struct fg_mesh_row {
	string key<255>;
	opaque value<FG_MESH_ROW_BYTES>;
	unsigned hyper ver;
	bool removed;
};

struct fg_mesh_rows {
	unsigned hyper read;    /* the rows are complete up to this version */
	fg_mesh_row rows<FG_MESH_ROWS_MAX>;
};

struct fg_mesh_packet {
	unsigned int format;
	unsigned hyper incarnation; /* of the sender */
	unsigned int seq;           /* increases with each heartbeat */
	fg_mesh_body body;
};
