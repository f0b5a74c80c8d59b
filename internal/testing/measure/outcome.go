package measure

import (
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"hemlockmast/internal/shared/outcome"
)

// isNotRun reports whether a caller was told that its statement was not run.
func isNotRun(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && strings.HasPrefix(pgErr.Detail, "outcome: "+outcome.NotRun.String())
}
