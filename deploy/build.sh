#!/bin/sh
# Installs the pinned libraries and copies the packages that run, with their byte code, below target/.
set -eu
requirements=platform/requirements.txt
if [ ! -e target/deps/.stamp ] || ! cmp -s "$requirements" target/deps/.stamp; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        --requirement "$requirements"
    cp "$requirements" target/deps/.stamp
fi
rm -rf target/app
mkdir -p target/app
for library in catalog sending relay delegation entry; do
    cp -R "libs/$library/src/zinnia_$library" target/app/
done
cp -R platform/zinnia_adapter platform/start.py target/app/
python3 -m compileall -q target/deps target/app
