#!/bin/sh
# Builds the stand-ins and the checks of the cases into review/out; needs the JDK alone.
cd "$(dirname "$0")" || exit 2
rm -rf out && mkdir -p out && exec javac -nowarn -d out src/*.java
