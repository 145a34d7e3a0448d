/*
 * fg_mesh - datagrams between the instances of a gateway.
 *
 * One datagram is one fg_mesh_packet in XDR. Every datagram may be lost,
 * doubled or overtaken: heartbeats and uses carry state, not changes, and asks are
 * repeated until they are answered.
 */

const FG_MESH_FORMAT = 2;       /* first field of every packet */
const FG_MESH_NAME_MAX = 95;
const FG_MESH_LIST_MAX = 64;
const FG_MESH_ADAPTERS_MAX = 32;

enum fg_mesh_state {
	FG_MESH_STARTING = 0,   /* not yet ready for callers */
	FG_MESH_READY = 1,
	FG_MESH_LEAVING = 2     /* planned stop */
};

struct fg_mesh_use {            /* what the sender has in flight there */
	unsigned hyper ep;
	unsigned hyper adapter;         /* 0: requests without one */
	unsigned int running;
	unsigned int pending_tokens;    /* to be read before a first token */
};

struct fg_mesh_adapter {
	unsigned hyper adapter;
	unsigned hyper ver;     /* 0: on its way */
};

struct fg_mesh_engine {            /* an engine that the sender orders */
	unsigned hyper ep;
	unsigned int running;           /* from all instances */
	unsigned int pending_tokens;
	unsigned int spare_age_ms;
	unsigned int queue;             /* adapters waiting for a slot */
	unsigned int fetch_wait_ms;     /* of a load from the weight store */
	fg_mesh_adapter adapters<FG_MESH_ADAPTERS_MAX>;
};

struct fg_mesh_crash {          /* an endpoint died under a request */
	unsigned hyper fingerprint;
	unsigned hyper ep;
	unsigned hyper req;
};

struct fg_mesh_feed {           /* a table of the platform's store */
	unsigned hyper newest;  /* version of the newest row that matters */
	unsigned hyper read;    /* all rows up to this version were read */
};

const FG_MESH_FEEDS = 3;        /* configuration, registry, own table */
const FG_MESH_STORE_LOST = 4294967295;

struct fg_mesh_store {          /* what the sender knows of the store */
	bool reads;             /* others may take rows from it */
	unsigned int age_ms;    /* since the registry answered it */
	fg_mesh_feed feeds[FG_MESH_FEEDS];
};

struct fg_mesh_heartbeat {
	fg_mesh_state state;
	fg_mesh_store store;
	fg_mesh_engine engines<FG_MESH_LIST_MAX>;
	fg_mesh_crash crashes<FG_MESH_LIST_MAX>;
};

struct fg_mesh_load_req {            /* have the adapter loaded there */
	unsigned hyper ep;
	string model<FG_MESH_NAME_MAX>;
	string adapter<FG_MESH_NAME_MAX>;
	unsigned hyper ver;     /* this one or a newer one; 0: any */
};

enum fg_mesh_answer {
	FG_MESH_NOT_OWNER = 0,
	FG_MESH_LOADING = 1,
	FG_MESH_RESIDENT = 2,
	FG_MESH_FULL = 3
};

struct fg_mesh_load_rep {
	unsigned hyper ep;
	unsigned hyper adapter;
	unsigned hyper ver;
	fg_mesh_answer answer;
};

struct fg_mesh_uses {           /* to the instance that orders the engines */
	fg_mesh_use list<FG_MESH_LIST_MAX>;
};

/* What is in flight at an engine, asked of the one that orders it. */
struct fg_mesh_totals_ask {
	unsigned int request;   /* of the asker, comes back */
	unsigned hyper ep;
};

struct fg_mesh_totals {
	unsigned int request;
	unsigned hyper ep;
	unsigned int running;           /* from all instances */
	unsigned int pending_tokens;
};

enum fg_mesh_kind {
	FG_MESH_HEARTBEAT = 1,
	FG_MESH_LOAD_REQ = 2,
	FG_MESH_LOAD_REP = 3,
	FG_MESH_USES = 4,
	FG_MESH_TOTALS_ASK = 5,
	FG_MESH_TOTALS = 6
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
};

/* Rows that one instance takes from another; not a datagram. */
const FG_MESH_ROW_BYTES = 131072;
const FG_MESH_ROWS_MAX = 4096;

struct fg_mesh_row {
	string key<255>;
	opaque value<FG_MESH_ROW_BYTES>;
	unsigned hyper ver;
	bool removed;
};

struct fg_mesh_rows {
	unsigned hyper read;    /* all rows up to this version are here */
	fg_mesh_row rows<FG_MESH_ROWS_MAX>;
};

struct fg_mesh_packet {
	unsigned int format;
	unsigned hyper incarnation; /* of the sender */
	unsigned int seq;           /* grows with each heartbeat */
	fg_mesh_body body;
};
