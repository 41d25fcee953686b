#!/bin/sh
# Records the classes that a start needs in router/target/stoatrill.jsa, so that a restarted router serves sooner.
# It starts the router with the same options as `run` (deploy/java.options), so that the archive is taken at run.
# The router starts without it too, only more slowly.
cd "$(dirname "$0")/.." || exit 1
rm -f router/target/stoatrill.jsa
env -u PROXY_NAME -u PROXY_LISTEN -u PROXY_DISCOVERY PROXY_CONFIG=router/src/test/resources/config.json \
  timeout -s TERM 3 java @deploy/java.options -XX:ArchiveClassesAtExit=router/target/stoatrill.jsa \
  -jar router/target/stoatrill.jar serve > router/target/archive.log 2>&1
test -f router/target/stoatrill.jsa || echo "no class archive was made: see router/target/archive.log"
