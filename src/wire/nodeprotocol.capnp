@0xd2b6c1e58f7a9304;
# Messages between nodes. tools/generate-wire generates the C++ code in generated/, which is committed.
# Comments at the corresponding C++ structs explain the fields: src/model/messages.h and src/wire/codec.h. UInt8 fields
# for enums (priority, refusal, state, kind, ...) carry the values of the C++ enums, whose order must not change.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillatack::schema");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ServiceLevel {
  service @0 :Text;
  lowestAdmitted @1 :UInt8;
  admittedPermille @2 :UInt16;
}

struct CallRequest {
  requestId @0 :UInt64;
  rootId @1 :Text;
  workspace @2 :Text;
  rootRoute @3 :Text;
  route @4 :Text;
  service @5 :Text;
  priority @6 :UInt8;
  depth @7 :UInt8;
  deadlineLeftNs @8 :Int64;
  allowance @9 :UInt16;
  idempotent @10 :Bool;
  method @11 :Text;
  target @12 :Text;
  headers @13 :List(Header);
  body @14 :Data;
  rank @15 :UInt8;
  instance @16 :Text;
  sentAtNs @17 :Int64;
}

struct CallReply {
  requestId @0 :UInt64;
  refusal @1 :UInt8;
  runState @2 :UInt8;
  refusedDeeper @3 :Bool;
  retryAfterNs @4 :Int64;
  status @5 :UInt16;
  headers @6 :List(Header);
  body @7 :Data;
  allowanceReturned @8 :UInt16;
  levels @9 :List(ServiceLevel);
}

struct Member {
  node @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  service @4 :Text;
  slots @5 :Int32;
  incarnation @6 :UInt64;
  state @7 :UInt8;
  cold @8 :Bool;
  shareSlot @9 :Int16;
}

struct StateVersions {
  configVersion @0 :UInt64;
  keysVersion @1 :UInt64;
  withdrawalCount @2 :UInt64;
  withdrawalHash @3 :UInt64;
}

struct Probe {
  sequence @0 :UInt64;
  self @1 :Member;
  updates @2 :List(Member);
  memberHash @3 :UInt64;
  versions @4 :StateVersions;
}

struct PingIndirect {
  sequence @0 :UInt64;
  self @1 :Member;
  target @2 :Text;
  targetAddress @3 :Text;
  targetPort @4 :UInt16;
}

struct MemberSync {
  sender @0 :Text;
  replyWanted @1 :Bool;
  members @2 :List(Member);
}

struct ServiceSummary {
  service @0 :Text;
  healthyInstances @1 :Int32;
  contacts @2 :List(Member);
}

struct ZoneDigest {
  sender @0 :Text;
  zone @1 :Text;
  version @2 :UInt64;
  services @3 :List(ServiceSummary);
  relays @4 :List(Member);
  shareOwners @5 :List(Member);
  versions @6 :StateVersions;
  nodes @7 :Int32;
  replyWanted @8 :Bool;
  baseVersion @9 :UInt64;
  heartbeat @10 :UInt64;
}

struct DocumentFetch {
  sender @0 :Text;
  kind @1 :UInt8;
  aboveVersion @2 :UInt64;
}

struct DocumentPush {
  sender @0 :Text;
  kind @1 :UInt8;
  version @2 :UInt64;
  digest @3 :Text;
  content @4 :Data;
}

struct WithdrawnKey {
  key @0 :Text;
  withdrawnAtMs @1 :Int64;
}

struct WithdrawalSync {
  sender @0 :Text;
  replyWanted @1 :Bool;
  keys @2 :List(WithdrawnKey);
}

struct LoanItem {
  workspace @0 :Text;
  rate @1 :Int64;
  burst @2 :Int64;
  tokens @3 :Int64;
  loan @4 :UInt64;
  termNs @5 :Int64;
}

struct BorrowRequest {
  sender @0 :Text;
  replyAddress @1 :Text;
  replyPort @2 :UInt16;
  sequence @3 :UInt64;
  items @4 :List(LoanItem);
}

struct BorrowGrant {
  sender @0 :Text;
  sequence @1 :UInt64;
  items @2 :List(LoanItem);
}

struct LoanReturn {
  sender @0 :Text;
  loan @1 :UInt64;
  lenderIncarnation @2 :UInt64;
  tokens @3 :Int64;
}

struct BurnPush {
  sender @0 :Text;
  content @1 :Data;
}

# Handshake of a connection: the client's nonce (Hello), the server's nonce and proof (Challenge), the client's proof
# (Proof).
struct Hello {
  nonce @0 :Data;
}

struct Challenge {
  nonce @0 :Data;
  proof @1 :Data;
}

struct Proof {
  proof @0 :Data;
}

struct Control {
  # Address and port at which the sender receives control messages.
  senderAddress @0 :Text;
  senderPort @1 :UInt16;
  union {
    ping @2 :Probe;
    pingIndirect @3 :PingIndirect;
    ack @4 :Probe;
    memberSync @5 :MemberSync;
    zoneDigest @6 :ZoneDigest;
    documentFetch @7 :DocumentFetch;
    documentPush @8 :DocumentPush;
    withdrawalSync @9 :WithdrawalSync;
    borrowRequest @10 :BorrowRequest;
    borrowGrant @11 :BorrowGrant;
    loanReturn @12 :LoanReturn;
    burnPush @13 :BurnPush;
  }
}

struct CallCancel {
  requestId @0 :UInt64;
}

struct LinkProbe {
  sequence @0 :UInt64;
  answer @1 :Bool;
  sentAtNs @2 :Int64;
}

struct RouteLoad {
  route @0 :Text;
  offeredPerSecond @1 :Float32;
  workSeconds @2 :Float32;
}

struct CallEdge {
  caller @0 :Text;
  callee @1 :Text;
  callsPerRequest @2 :Float32;
}

struct NodeReport {
  node @0 :Text;
  startedAtMs @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  slots @4 :Int32;
  running @5 :Int32;
  queued @6 :Int32;
  loads @7 :List(RouteLoad);
  edges @8 :List(CallEdge);
  silent @9 :List(Text);
  leaving @10 :List(Text);
  registeredDigest @11 :UInt64;
}

struct ReportBundle {
  spread @0 :Bool;
  reports @1 :List(NodeReport);
}

struct RateAsk {
  askId @0 :UInt64;
  asker @1 :Text;
  workspace @2 :Text;
  wanted @3 :Int32;
  returned @4 :Int32;
}

struct RateGrant {
  askId @0 :UInt64;
  workspace @1 :Text;
  granted @2 :Int32;
  dryForNs @3 :Int64;
}

struct TableWatch {
  requestId @0 :UInt64;
  table @1 :Text;
  afterVersion @2 :UInt64;
  waitNs @3 :Int64;
}

struct TableRow {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  deleted @3 :Bool;
}

struct TableChanges {
  requestId @0 :UInt64;
  known @1 :Bool;
  version @2 :UInt64;
  confirmedAfterNs @3 :Int64;
  rows @4 :List(TableRow);
}

struct Departure {
  instance @0 :Text;
  startedAtMs @1 :UInt64;
}

struct DepartureNote {
  kind @0 :UInt8;
  node @1 :Text;
  sender @2 :Text;
  noteId @3 :UInt64;
  departures @4 :List(Departure);
  configVersion @5 :UInt64;
}

struct Frame {
  union {
    hello @0 :Hello;
    challenge @1 :Challenge;
    proof @2 :Proof;
    callRequest @3 :CallRequest;
    callReply @4 :CallReply;
    control @5 :Control;
    callCancel @6 :CallCancel;
    linkProbe @7 :LinkProbe;
    nodeReport @8 :NodeReport;
    reportBundle @9 :ReportBundle;
    rateAsk @10 :RateAsk;
    rateGrant @11 :RateGrant;
    tableWatch @12 :TableWatch;
    tableChanges @13 :TableChanges;
    departureNote @14 :DepartureNote;
  }
}
