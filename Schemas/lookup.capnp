@0xdfb8711bbcade332;
# Messages about the table of client blocks: updates, substitutes of lost sites, and the sites themselves.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadadrum::schema");

enum AddressFamily {
  ipv4 @0;
  ipv6 @1;
}

# Changed blocks of one family and length, in order of address. The columns keep a change at about 9 bytes
# unpacked: an address, and a site or, for removals, none.
struct BlockColumn {
  family @0 :AddressFamily;
  length @1 :UInt8;
  addresses @2 :List(UInt64);  # First bit in the top bit; IPv4 in the upper 32 bits.
  sites @3 :Data;  # One byte per address; 255 removes the block.
}

# All changes from version base to version. Parts of a large update but the last have version equal to base.
struct BlockUpdate {
  base @0 :UInt64;
  version @1 :UInt64;
  columns @2 :List(BlockColumn);
}

struct Neighbour {
  site @0 :UInt8;
  capacity @1 :UInt32;  # Blocks it can take over.
}

# A site is lost, and these neighbours take over its blocks; without neighbours the site has its blocks again.
struct SiteSpread {
  site @0 :UInt8;
  sequence @1 :UInt64;  # Grows with each change of this site's state.
  neighbours @2 :List(Neighbour);
}

# What the number of a site stands for.
struct Site {
  id @0 :UInt8;
  name @1 :Text;
  region @2 :Text;
}

struct SiteList {
  version @0 :UInt64;
  sites @1 :List(Site);
}
