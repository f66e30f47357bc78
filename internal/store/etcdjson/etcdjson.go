// Package etcdjson defines the messages of the etcd v3 API in the JSON encoding
// of its gateway, limited to the fields that the project uses. Bytes are
// base64, 64-bit integers are decimal strings, and zero values are omitted.
package etcdjson

// URL paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// gRPC status codes in an Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Enumeration values that the project uses.
const (
	CompareEqual = "EQUAL"
	TargetMod    = "MOD"
	SortDescend  = "DESCEND"
	EventDelete  = "DELETE"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// StoreRevision returns the store's revision at the time of the response.
func (r *RangeResponse) StoreRevision() int64 { return r.Header.Revision }

// StoreRevision returns the store's revision at the time of the response.
func (r *TxnResponse) StoreRevision() int64 { return r.Header.Revision }

// StoreRevision returns the store's revision at the time of the response.
func (r *LeaseResponse) StoreRevision() int64 { return r.Header.Revision }

// StoreRevision returns the store's revision at the time of the response, or 0
// if the message has no result.
func (r *KeepAliveMessage) StoreRevision() int64 {
	if r.Result == nil {
		return 0
	}
	return r.Result.Header.Revision
}

// KeyValue is a key with its value and metadata.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone if RangeEnd is
// empty.
type RangeRequest struct {
	Key        []byte `json:"key,omitempty"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,string,omitempty"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
	KeysOnly   bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest. Count is the number of keys in the
// range, regardless of Limit.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key,omitempty"`
	Target      string `json:"target,omitempty"`
	Result      string `json:"result,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the events of [Key, RangeEnd) from StartRevision on.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one line of a watch stream. Exactly one field is set.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// WatchResponse carries events or reports the end of the watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change. An empty Type means a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// GrantRequest creates a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest identifies the lease of a keepalive or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse answers a grant or revoke and, inside a KeepAliveMessage, a
// keepalive. A TTL of 0 in a keepalive means that the lease no longer exists.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveMessage is the single line of a keepalive stream.
type KeepAliveMessage struct {
	Result *LeaseResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// Error is the body of a response whose HTTP status is not 200.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the range end that selects all keys with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // selects all keys from prefix on
}
