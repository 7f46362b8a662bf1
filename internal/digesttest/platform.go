package digesttest

import (
	"path/filepath"
	"runtime"
)

// platform is what floating-point results depend on. The architecture decides how math.Exp and similar functions round. Fusing
// decides whether x*y + z is rounded once or twice; it depends on the architecture and on compiler flags. The zero value is the
// platform of the digests that don't depend on one.
type platform struct {
	architecture string // GOARCH
	fused        bool
}

// referencePlatform is the platform whose digests have the unqualified file name.
var referencePlatform = platform{architecture: "amd64"}

// currentPlatform returns the platform for which the running test was compiled.
func currentPlatform() platform {
	return platform{architecture: runtime.GOARCH, fused: fusesMultiplyAdd()}
}

// recordingFile returns the file of the digests that were recorded on the platform.
func (p platform) recordingFile() string {
	name := "digests.txt"
	switch {
	case p == platform{} || p == referencePlatform:
	case p.fused:
		name = "digests-" + p.architecture + "-fused.txt"
	default:
		name = "digests-" + p.architecture + "-unfused.txt"
	}
	return filepath.Join("testdata", name)
}

// fusesMultiplyAdd reports whether this package was compiled with fused multiplication and addition. The exact product of the factors
// is 1 + 2^-29 + 2^-60. Rounded by itself it loses the last term, so that the sum is zero unless the operations are fused.
func fusesMultiplyAdd() bool {
	const factor = 1 + 0x1p-30
	return multiplyAdd(factor, factor, -(1+0x1p-29)) != 0
}

// multiplyAdd is not inlined, because the compiler would evaluate it on constants.
//
//go:noinline
func multiplyAdd(x, y, z float64) float64 { return x*y + z }
