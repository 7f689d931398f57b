@0xd3c1a7f0b5e24911;
# What sailpath's VMs say to one another. docs/PROTOCOLS.md describes it.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sailpath::adapters::peers::rpc");

const protocolVersion :UInt32 = 1;

struct Member {
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  status @4 :UInt8;
}

struct ServerReport {
  workspace @0 :Text;
  service @1 :Text;
  server @2 :Text;
  inFlight @3 :UInt32;
  draining @4 :Bool;
  ageMs @5 :UInt32;
}

struct Digest {
  from @0 :Member;
  revision @1 :UInt64;
  claims @2 :List(Member);
  reports @3 :List(ServerReport);
}

struct Document {
  workspace @0 :Text;
  text @1 :Text;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# The first capability on a connection. It gives the second one only to a
# caller that knows the shared key.
interface Gate {
  challenge @0 (version :UInt32) -> (version :UInt32, nonce :Data);
  login @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  documentsSince @1 (revision :UInt64) -> (documents :List(Document), more :Bool);
}
