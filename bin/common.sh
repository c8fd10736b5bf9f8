# Shared by the scripts beside it; sourced, not run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

# Builds the named module and what it needs, unless its classpath is there already.
ensure_built() {
	[ -d "$root/pistachioline-$1/target/lib" ] && [ -d "$root/pistachioline-$1/target/classes" ] && return
	build_all >&2
}

build_all() {
	(cd "$root" && mvn -q -B -ntp package -DskipTests)
}

# The module's own classes and everything that it needs at run time.
classpath_of() {
	printf '%s' "$root/pistachioline-$1/target/classes:$root/pistachioline-$1/target/lib/*"
}

run_java() {
	local module=$1 main=$2
	shift 2
	ensure_built "$module"
	exec java ${PISTACHIOLINE_JAVA_OPTS:--Xmx128m -Xss512k -XX:ReservedCodeCacheSize=48m -XX:+UseSerialGC} -cp "$(classpath_of "$module")" "$main" "$@"
}
