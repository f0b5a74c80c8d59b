package servicefile

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"hemlockmast/api/service"
)

// Suffix is the file name suffix of service files and group files.
const Suffix = ".hemlock.json"

// maxFiles bounds the files that one call of Collect parses.
const maxFiles = maxGroups + maxServices

// Collect parses every file whose name ends in Suffix, in dirs and their
// subfolders. It does not descend into folders that are symbolic links.
func Collect(dirs ...string) ([]*File, Problems) {
	var files []*File
	var problems Problems
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() || !strings.HasSuffix(path, Suffix) {
				return nil
			}
			if len(files) == maxFiles {
				problems = append(problems, tooManyFiles(dir))
				return fs.SkipAll
			}
			file, found := parseFile(path)
			files = append(files, file)
			problems = append(problems, found...)
			return nil
		})
		if err != nil {
			problems = append(problems, unreadable(dir, err))
		}
	}
	return files, problems
}

// Load collects the files in dirs and checks them together.
func Load(dirs ...string) (*service.Configuration, Problems) {
	files, problems := Collect(dirs...)
	cfg, found := Check(files)
	problems = append(problems, found...)
	if len(problems) == 0 && len(files) == 0 {
		problems = append(problems, noFiles(dirs))
	}
	problems.sort()
	return cfg, problems
}

func parseFile(path string) (*File, Problems) {
	data, err := readBounded(path)
	if err != nil {
		return &File{Name: path}, Problems{unreadable(path, err)}
	}
	return Parse(path, data)
}

// readBounded reads at most maxFileBytes+1 bytes, so that Parse can report a
// file that is too large.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

func unreadable(path string, err error) *Problem {
	return &Problem{
		Kind: KindUnreadable, File: path, Detail: err.Error(),
		Fix: "name a folder and files that can be read",
	}
}

func tooManyFiles(dir string) *Problem {
	return &Problem{
		Kind: KindTooLarge, File: dir,
		Detail: fmt.Sprintf("more than %d files", maxFiles),
		Fix:    "collect fewer folders",
	}
}

func noFiles(dirs []string) *Problem {
	return &Problem{
		Kind: KindMissingField, File: strings.Join(dirs, " "),
		Detail: "no file ends in " + Suffix,
		Fix:    "name a folder that holds service files and group files",
	}
}
