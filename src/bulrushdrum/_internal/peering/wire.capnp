@0xbf5147ad2e6d3b01;
# Messages between bulrushdrum processes. A Frame is one length-prefixed message on a
# connection. Fields are only added and never renumbered, so that two releases can run
# side by side during a rolling upgrade.

struct Frame {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    proof @2 :Proof;
    describe @3 :Describe;
    beat @4 :Beat;
    open @5 :Open;
    opened @6 :Opened;
    steps @7 :Steps;
    tokens @8 :Tokens;
    close @9 :Close;
    attemptFailed @10 :AttemptFailed;
    call @11 :Call;
    callResult @12 :CallResult;
    resolve @13 :Resolve;
    configEntries @14 :ConfigEntries;
    configQuery @15 :ConfigQuery;
    configConfirm @16 :ConfigConfirm;
    permitBorrow @17 :PermitBorrow;
    permitLoan @18 :PermitLoan;
    permitReturn @19 :PermitReturn;
    entrySetAck @20 :EntrySetAck;
    recordCopies @21 :RecordCopies;
    recordsAck @22 :RecordsAck;
    recordsFlushed @23 :RecordsFlushed;
    suspects @24 :Suspects;
    orderLeaseRequest @25 :OrderLeaseRequest;
    orderLease @26 :OrderLease;
    desired @27 :Desired;
    rejected @28 :Rejected;
    resolved @29 :Resolved;
    cacheEvents @30 :CacheEvents;
    dumpQuery @31 :DumpQuery;
    dump @32 :Dump;
    entrySetQuery @33 :EntrySetQuery;
    entrySetValue @34 :EntrySetValue;
    loansQuery @35 :LoansQuery;
    loansHeld @36 :LoansHeld;
  }
}

struct Hello {
  protocol @0 :UInt16;
  kind @1 :Text;
  node @2 :Text;
  incarnation @3 :Text;
  dataCentre @4 :Text;
  address @5 :Text;
  keyId @6 :Text;
  nonce @7 :Data;
}

struct Welcome {
  protocol @0 :UInt16;
  kind @1 :Text;
  node @2 :Text;
  incarnation @3 :Text;
  dataCentre @4 :Text;
  address @5 :Text;
  nonce @6 :Data;
  mac @7 :Data;
}

struct Proof { mac @0 :Data; }

struct Rejected { reason @0 :Text; }

# Description of a sidecar's upstream, sent on connect and on each change.
struct Describe {
  upstream @0 :Text;
  service @1 :Text;          # empty for a model engine
  model @2 :Text;
  modelVersion @3 :Text;
  firstLayer @4 :UInt16;
  endLayer @5 :UInt16;       # exclusive
  modelLayers @6 :UInt16;
  accelerator @7 :Text;
  tokensPerSecond @8 :Float64;
  slots @9 :UInt32;
  state @10 :Text;           # serving, draining, stopped, lost
  window @11 :UInt32;
}

struct Beat {
  unused0 @0 :UInt64;        # formerly sequence
  unused1 @1 :UInt64;        # formerly the echoed sequence
  state @2 :Text;
  window @3 :UInt32;
  running @4 :UInt32;
  queuedTokens @5 :UInt32;
  configRevision @6 :UInt64;
  entrySetVersion @7 :UInt64;
}

struct ChainStage {
  upstream @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  firstLayer @3 :UInt16;
  endLayer @4 :UInt16;
}

struct Open {
  request @0 :Text;
  attempt @1 :UInt32;
  stage @2 :UInt16;
  chain @3 :List(ChainStage);
  customer @4 :Text;
  weight @5 :Float64;
  priority @6 :UInt8;
  seed @7 :UInt64;
  maxTokens @8 :UInt32;      # remaining tokens of this attempt
  promptTokens @9 :UInt32;   # length of the first step, including delivered tokens
  model @10 :Text;
  modelVersion @11 :Text;
  fingerprint @12 :Text;
  bindingKey @13 :Text;      # empty if idempotent; sent to stage 0 only
  window @14 :UInt32;
  generation @15 :UInt32;
  solo @16 :Bool;            # suspect; must not share the upstream with another one
}

struct Opened {
  request @0 :Text;
  attempt @1 :UInt32;
  stage @2 :UInt16;
  accepted @3 :Bool;
  reason @4 :Text;
  outcome @5 :Text;          # if refused: not_run, or unknown if the key may have run
}

struct Step {
  request @0 :Text;
  attempt @1 :UInt32;
  position @2 :UInt32;
  count @3 :UInt32;
  tokens @4 :List(UInt32);   # input of stage 0
  activation @5 :Data;       # input of the other stages
}

struct Steps { steps @0 :List(Step); }

struct Token {
  request @0 :Text;
  attempt @1 :UInt32;
  position @2 :UInt32;       # position of the new token
  token @3 :UInt32;
  text @4 :Text;
  final @5 :Bool;
  finishReason @6 :Text;
}

struct Tokens { tokens @0 :List(Token); }

struct Close {
  request @0 :Text;
  attempt @1 :UInt32;
  reason @2 :Text;
}

struct AttemptFailed {
  request @0 :Text;
  attempt @1 :UInt32;
  upstream @2 :Text;         # upstream that caused the failure
  cause @3 :Text;
  ran @4 :Bool;              # false: this stage sent nothing to its engine
  suspects @5 :List(Text);   # fingerprints in the engine call that crashed
  incident @6 :Text;         # id of the crash, equal for all requests in the call
}

struct Header { name @0 :Text; value @1 :Text; }

struct Call {
  call @0 :Text;
  customer @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  bindingKey @7 :Text;
  window @8 :UInt32;
  generation @9 :UInt32;
  fingerprint @10 :Text;
  timeoutMs @11 :UInt32;
  weight @12 :Float64;
  priority @13 :UInt8;
}

struct CallResult {
  call @0 :Text;
  outcome @1 :Text;          # answered, not_run, unknown
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  reason @5 :Text;
}

struct Resolve { call @0 :Text; customer @1 :Text; bindingKey @2 :Text; window @3 :UInt32; generation @4 :UInt32; }

struct Resolved {
  call @0 :Text;
  state @1 :Text;            # done, running, cancelled, unknown
  result @2 :CallResult;     # set if done
}

struct ConfigEntry {
  revision @0 :UInt64;
  kind @1 :Text;             # contract, upstream
  key @2 :Text;
  value @3 :Text;            # JSON; empty means deleted
  editId @4 :Text;
}

struct ConfigEntries {
  entries @0 :List(ConfigEntry);
  snapshot @1 :Bool;
  head @2 :UInt64;           # highest revision in force at the sender
  token @3 :UInt64;          # token of the query; 0 if pushed without a query
  part @4 :UInt32;           # a snapshot is sent in parts 0, 1, 2...
  last @5 :Bool;             # this is the last part of the response
  ready @6 :Bool;            # false: the sender has not loaded its configuration
}
struct ConfigQuery { after @0 :UInt64; token @1 :UInt64; }
struct ConfigConfirm { revision @0 :UInt64; }

struct PermitBorrow { loan @0 :Text; customer @1 :Text; }
struct PermitLoan {
  loan @0 :Text;
  granted @1 :Bool;
  reason @2 :Text;
  number @3 :UInt32;         # number of the permit, if granted
}
struct PermitReturn { loan @0 :Text; }
struct BusyPermit { customer @0 :Text; number @1 :UInt32; }
struct EntrySetAck {
  version @0 :UInt64;
  busy @1 :List(BusyPermit);
  sequence @2 :UInt64;       # a higher one replaces earlier acknowledgements
  unused @3 :UInt64;
  guests @4 :List(EntryMember);  # entries known to the sender that are not members
}
struct EntryMember {
  node @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  region @4 :Text;
}
struct EntrySetQuery { version @0 :UInt64; }
struct EntrySetValue { version @0 :UInt64; members @1 :List(EntryMember); }
struct LoansQuery { loans @0 :List(Text); }
struct LoansHeld { queried @0 :List(Text); held @1 :List(Text); }

struct RecordCopies {
  batch @0 :UInt64;
  records @1 :List(Text);
  restart @2 :Bool;          # first batch of a full copy
  complete @3 :Bool;         # last batch of it; earlier copies may then be dropped
}
struct RecordsAck { batch @0 :UInt64; }
struct RecordsFlushed { ids @0 :List(Text); all @1 :Bool; }

struct Incident { id @0 :Text; fingerprints @1 :List(Text); }
struct Suspects {
  incidents @0 :List(Incident);
  query @1 :Text;            # id of a new incident; queries which of its requests run
  answers @2 :Text;          # the query that this message responds to
  running @3 :List(Text);    # fingerprints of the requests that run at the sender
}

struct OrderLeaseRequest { token @0 :Text; upstream @1 :Text; epoch @2 :UInt64; }
struct OrderLease {
  token @0 :Text;
  granted @1 :Bool;
  epoch @2 :UInt64;
  desiredRevision @3 :UInt64;
  desired @4 :Text;          # JSON
  reason @5 :Text;
}
struct Desired { upstream @0 :Text; revision @1 :UInt64; value @2 :Text; }

struct CacheEvent { prefix @0 :Text; stored @1 :Bool; }
struct CacheEvents { sequence @0 :UInt64; events @1 :List(CacheEvent); }

struct DumpQuery { token @0 :Text; }
struct Dump { token @0 :Text; state @1 :Text; }   # JSON
