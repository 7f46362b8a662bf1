package election

import "testing"

func TestTakeOverRequestCarriesItsEpoch(t *testing.T) {
	if epoch, err := decodeTakeOver(encodeTakeOver(7)); err != nil || epoch != 7 {
		t.Fatalf("decoded epoch %d, %v", epoch, err)
	}
	if _, err := decodeTakeOver(nil); err == nil {
		t.Fatal("a request without an epoch was accepted")
	}
}
