#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/src-2/target. Needs a JDK 17 and nothing else.
cd "$(dirname "$0")/src-2" || exit 2
rm -rf target
mkdir -p target/classes || exit 2
exec javac -Xlint:all -Werror --release 17 -d target/classes ./*.java
