@0xb7d2f1c43a9e5d17;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sailpath::adapters::links::wire");

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  gone @3 :Bool;
}

# A large item as its difference from the value at revision `base`; the format is zstd's.
struct PackedItem {
  key @0 :Text;
  revision @1 :UInt64;
  base @2 :UInt64;
  packed @3 :Data;
}

struct NodeAddress {
  address @0 :Text;
  dataCentre @1 :Text;
  ageMs @2 :UInt32;
  capacity @3 :UInt32;
}

# Nodes of one data centre, 8 bytes each: IPv4 address, port, tenths of a second since heard of, capacity.
struct NodeGroup {
  dataCentre @0 :Text;
  packed @1 :Data;
}

struct Hello {
  self @0 :NodeAddress;
  at @1 :UInt64;
  packs @2 :Bool;  # Understands `packedItems`.
}

struct Update {
  at @0 :UInt64;
  ageMs @1 :UInt32;
  illAgeMs @2 :UInt32;
  full @3 :Bool;
  items @4 :List(Item);
  nodes @5 :List(NodeGroup);
  after @6 :UInt64;
  gapped @7 :Bool;
  packed @8 :List(PackedItem);
  sentMs @9 :UInt64;
  packedItems @10 :Data;  # All items, an `ItemList` in zstd's format: packed once for all who need it.
  news @11 :List(ServerReport);
}

struct ItemList {
  items @0 :List(Item);
}

# Servers that a node saw fail: hash of the node, number of the report, hashes of the instances.
struct ServerReport {
  origin @0 :UInt32;
  number @1 :UInt32;
  servers @2 :List(UInt32);
  ends @3 :List(EndRecord);
  served @4 :List(Data);  # Contents, 16 bytes each.
  limits @5 :List(LimitRecord);
}

# What a server takes from all nodes together, and what the node sent there.
struct LimitRecord {
  server @0 :UInt32;
  perSecond @1 :Float32;  # Infinite: everything.
  agoMs @2 :UInt32;
  sent @3 :Float32;
  doublings @4 :Float32;
  topic @5 :UInt8;  # What the record is about; 0: a limit or quota.
}

# A server that ended while it ran a request; times in milliseconds.
struct EndRecord {
  server @0 :UInt32;
  caller @1 :UInt32;
  ranMs @2 :UInt32;
  agoMs @3 :UInt32;
  content @4 :Data;
}

struct Report {
  nodes @0 :List(NodeGroup);
  news @1 :List(ServerReport);
}

# Asks a node to connect to a server; all that follows are bytes for the server.
struct TunnelOpen {
  instance @0 :Text;
  born @1 :UInt64;  # Start of the server's life in Unix milliseconds.
}

# From the node that was asked: first whether the connection is up, then what the server sends.
struct TunnelMessage {
  union {
    opened @0 :UInt8;
    data @1 :Data;
    ended @2 :Void;  # The server closed the connection in order.
  }
  end @3 :UInt8;  # With `data` that is empty: how else the connection ended. Nodes that don't know it see a tunnel that is cut.
}

struct Message {
  union {
    hello @0 :Hello;
    update @1 :Update;
    report @2 :Report;
    tunnelOpen @3 :TunnelOpen;
  }
}
