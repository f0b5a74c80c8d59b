package sqltext

import (
	"errors"
	"strings"
	"testing"
)

// FuzzParse checks that every text parses or returns an *Error, and that a text
// without statements still has none with a semicolon appended.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"SELECT $1::int4 + 1, repeat('x', 3) AS n FROM t WHERE k = 1 AND v IN ('a', $2) ORDER BY k DESC LIMIT 2 FOR UPDATE",
		"INSERT INTO t (k) VALUES (-1), (NULL) ON CONFLICT (k) DO UPDATE SET k = excluded.k RETURNING *",
		"CREATE TABLE IF NOT EXISTS \"t\" (k int PRIMARY KEY, v varchar(9) NOT NULL, UNIQUE (k))",
		"BEGIN READ ONLY; SET LOCAL a.b TO 'x', y; SHOW TIME ZONE; COMMIT -- c",
		"HEMLOCK WAIT 1/2 3/4 primary 5 6", "/* open", "'open", "select count(*", "$0", "select -", "a", "(", "",
		"select " + strings.Repeat("(", 1<<20), "select " + strings.Repeat("-", 1<<10) + "a",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		stmts, err := Parse(text)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("%q: %T", text, err)
		}
		if err == nil && stmts == nil && len(text) > 0 {
			if again, err := Parse(text + ";"); err != nil || again != nil {
				t.Fatalf("%q is empty, with a semicolon it is not", text)
			}
		}
	})
}
