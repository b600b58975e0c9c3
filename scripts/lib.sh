# Functions shared by the scripts: choice of the JDK, JVM flags, Maven.

MIN_JAVA=21

# Prints the feature version of the JDK in folder $1, or nothing if it holds no JDK.
java_version() {
  [ -x "$1/bin/javac" ] || return 0
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

# Sets JAVA_HOME to a JDK of version MIN_JAVA or newer: its present value if that is one, else the
# newest JDK installed.
choose_jdk() {
  local home version best_home='' best_version=0
  if [ -n "${JAVA_HOME:-}" ]; then
    version=$(java_version "$JAVA_HOME")
    if [ "${version:-0}" -ge "$MIN_JAVA" ]; then
      export JAVA_HOME
      return 0
    fi
  fi
  local on_path=''
  if command -v javac >/dev/null 2>&1; then
    on_path=$(dirname "$(dirname "$(readlink -f "$(command -v javac)")")")
  fi
  for home in $on_path /usr/lib/jvm/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    version=$(java_version "$home")
    if [ "${version:-0}" -gt "$best_version" ]; then
      best_version=$version
      best_home=$home
    fi
  done
  if [ "$best_version" -lt "$MIN_JAVA" ]; then
    echo "no JDK $MIN_JAVA or newer found: install one or set JAVA_HOME" >&2
    return 1
  fi
  export JAVA_HOME=$best_home
}

# Prints the flags that suppress the chosen JDK's warnings about native access by Netty and
# sun.misc.Unsafe in Netty and msgpack.
java_flags() {
  local version
  version=$(java_version "$JAVA_HOME")
  if [ "$version" -ge 24 ]; then
    echo "--enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow"
  elif [ "$version" -ge 22 ]; then
    echo "--enable-native-access=ALL-UNNAMED"
  fi
}

# Runs Maven in batch mode without transfer progress.
run_maven() {
  MAVEN_OPTS="${MAVEN_OPTS:-} $(java_flags)" mvn -B -ntp "$@"
}
